"""Saves parts of prompts to context stores and has engines fetch them again.

A context store keeps the KV cache of prompt parts for several engines. A part is a
named section of a prompt; the last one is the caller's question.

An engine is listed to the VMs as a target; the ``entry`` of a `TargetState` is the
engine's entry in that list.
"""

from __future__ import annotations
