"""Overload.

Decides which calls get scarce capacity. Its modules import the standard library, attrs,
the metrics and each other, and nothing that opens a connection.
"""

from laburnumscale.overload.accountlabels import AccountLabels
from laburnumscale.overload.accountturns import AccountTurns
from laburnumscale.overload.costdecisions import (
    Admission,
    CallNeeds,
    CostDecisions,
    Refusal,
)
from laburnumscale.overload.granthistory import GrantHistory
from laburnumscale.overload.priorityshares import PriorityShares
from laburnumscale.overload.waitingcalls import WaitingCall, WaitingCalls
from laburnumscale.overload.workestimates import LATENCY_MARGIN, WorkEstimates

__all__ = [
    "LATENCY_MARGIN",
    "AccountLabels",
    "AccountTurns",
    "Admission",
    "CallNeeds",
    "CostDecisions",
    "GrantHistory",
    "PriorityShares",
    "Refusal",
    "WaitingCall",
    "WaitingCalls",
    "WorkEstimates",
]
