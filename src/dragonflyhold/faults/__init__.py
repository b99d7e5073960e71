"""Fault experiments: random faults against a deployment of real processes, judged by an oracle."""

from dragonflyhold.faults.experiment import Experiment, ExperimentOptions, ExperimentReport

__all__ = ["Experiment", "ExperimentOptions", "ExperimentReport"]
