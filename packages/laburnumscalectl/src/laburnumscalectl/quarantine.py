"""Quarantine.

The commands that show and release calls under which targets ended.
"""

import argparse
import json

from laburnumscalectl.client import OperatorClient

__all__ = ["release", "show_quarantine"]

MS_PER_S = 1000


def show_quarantine(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the calls under which targets ended, and which of them are refused."""
    calls = client.quarantine()
    if options.json:
        print(json.dumps({"calls": calls}, indent=2))
        return 0
    for call in calls:
        state = "suspect"
        if call["refused_for_ms"]:
            state = f"refused for {call['refused_for_ms'] // MS_PER_S} s"
        print(
            f"{call['fingerprint']} {call['service']} {call['method']} {call['path']} "
            f"targets ended: {call['target_ends']}, {state}"
        )
    return 0


def release(options: argparse.Namespace, client: OperatorClient) -> int:
    """Release calls in the whole fleet, so that they are sent to targets again."""
    fingerprints = options.fingerprint
    if options.all:
        fingerprints = [call["fingerprint"] for call in client.quarantine()]
    for fingerprint in fingerprints:
        client.release(fingerprint)
        print(f"released {fingerprint}")
    return 0
