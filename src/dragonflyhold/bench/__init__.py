"""Policy and deployment simulations, load generator and capacity measurements."""
