"""Policy names.

The values that the settings accept for the routing policy and the ejection policy.
"""

__all__ = ["EJECTION_POLICIES", "ROUTING_POLICIES"]

ROUTING_POLICIES = ("two-choices", "round-robin", "least-requests", "holding-cost")
EJECTION_POLICIES = ("evidence", "consecutive-errors", "none")
