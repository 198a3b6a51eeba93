"""Saves parts of prompts to context stores and has engines fetch them again.

An engine is listed to the VMs as a target; the ``entry`` of a `TargetState` is the
engine's entry in that list.
"""

from __future__ import annotations
