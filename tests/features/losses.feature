Feature: Analysis of lost answers from the daemons' logs

  Scenario: Calls are counted by outcome and ejected targets by time in each phase
    Given logs of d1
      """
      {"event": "daemon started", "daemon": "d1", "incarnation": 1, "timestamp": "2026-12-03T10:00:00Z"}
      {"event": "target ejected", "service": "slot-desk", "endpoint": "e1", "cause": "overdue", "on_trial": false, "daemon": "d1", "timestamp": "2026-12-03T10:00:01Z"}
      {"event": "target on trial", "service": "slot-desk", "endpoint": "e1", "daemon": "d1", "timestamp": "2026-12-03T10:00:02.5Z"}
      {"event": "target returned", "service": "slot-desk", "endpoint": "e1", "reason": "trial call served", "daemon": "d1", "timestamp": "2026-12-03T10:00:03Z"}
      {"event": "target ejected", "service": "slot-desk", "endpoint": "e1", "cause": "overdue", "on_trial": false, "daemon": "d1", "timestamp": "2026-12-03T10:00:04Z"}
      {"event": "daemon started", "daemon": "d1", "incarnation": 2, "timestamp": "2026-12-03T10:00:05Z"}
      {"event": "call ended", "service": "slot-desk", "idempotent": true, "outcome": "answered", "reason": "none", "status": 200, "attempts": [{"endpoint": "e1", "daemon": "d1", "result": "answered none", "elapsed_ms": 5}], "stands_for": 3, "daemon": "d1", "timestamp": "2026-12-03T10:00:06Z"}
      {"event": "call ended", "service": "slot-desk", "idempotent": true, "outcome": "not_run", "reason": "overloaded", "status": null, "attempts": [], "stands_for": 1, "daemon": "d1", "timestamp": "2026-12-03T10:00:06Z"}
      """
    When the losses are computed from the logs of d1
    Then the loss table contains
      """
      | may be repeated | served | 3 | 75.0% |
      | may be repeated | not_run overloaded | 1 | 25.0% |
      | answered none | 3 |
      | ejected: overdue | 2 |
      """
    And the targets of slot-desk were ejected for 2.5 s and on trial for 0.5 s
