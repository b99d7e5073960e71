"""Fault injection: random faults against a deployment of real processes, checked by an oracle."""

from dragonflyhold.faults.experiment import Experiment, ExperimentOptions, ExperimentReport

__all__ = ["Experiment", "ExperimentOptions", "ExperimentReport"]
