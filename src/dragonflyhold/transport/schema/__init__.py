"""Generated from ``schema/*.proto`` by ``make proto``."""
