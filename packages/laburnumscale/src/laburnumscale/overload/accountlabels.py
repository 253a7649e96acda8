"""Account labels.

Bounds the number of accounts that metrics distinguish.
"""

from laburnumscale.metrics import escape_label

__all__ = ["AccountLabels"]

#: Counters are kept until the process ends, each with its label.
MAX_LABELS = 50
OTHERS = "others"


class AccountLabels:
    """Label values of metrics by account: the first accounts have one of their own."""

    def __init__(self, max_labels: int = MAX_LABELS) -> None:
        self._max_labels = max_labels
        self._labels: dict[str, str] = {}

    def label(self, account: str) -> str:
        """Return the label value of an account, in Prometheus syntax."""
        label = self._labels.get(account)
        if label is not None:
            return label
        if len(self._labels) >= self._max_labels:
            return OTHERS
        label = escape_label(account)
        self._labels[account] = label
        return label
