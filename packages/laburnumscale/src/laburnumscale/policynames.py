"""Policy names.

The names under which the settings choose routing and ejection.
"""

__all__ = ["EJECTION_POLICIES", "ROUTING_POLICIES"]

ROUTING_POLICIES = ("two-choices", "round-robin", "least-requests", "holding-cost")
EJECTION_POLICIES = ("evidence", "consecutive-errors", "none")
