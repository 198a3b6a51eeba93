"""Rollout of the weights that the operator selected to the engines.

An engine is listed to the VMs as a target; the ``entry`` of a `TargetState` is the
engine's entry in that list.
"""

from __future__ import annotations
