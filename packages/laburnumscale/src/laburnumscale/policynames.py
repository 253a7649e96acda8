"""Policy names.

The values that the settings accept for the routing policy, the ejection policy and the
queue policy.
"""

__all__ = ["EJECTION_POLICIES", "QUEUE_POLICIES", "ROUTING_POLICIES"]

ROUTING_POLICIES = ("two-choices", "round-robin", "least-requests", "holding-cost")
EJECTION_POLICIES = ("evidence", "consecutive-errors", "none")
QUEUE_POLICIES = ("priority", "cost")
