"""Membership of the deployment: entries, targets and stores."""

from __future__ import annotations
