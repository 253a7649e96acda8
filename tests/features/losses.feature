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

  Scenario: Calls that were not served are counted by route and cause
    Given logs of d1
      """
      {"event": "call ended", "service": "slot-desk", "route": "a/hold/", "idempotent": false, "outcome": "answered", "reason": "none", "status": 200, "elapsed_ms": 900, "left_ms": 1100, "attempts": [{"endpoint": "e2", "daemon": "d2", "result": "answered none", "elapsed_ms": 900}], "stands_for": 4, "daemon": "d1", "timestamp": "2026-12-03T10:00:00.5Z"}
      {"event": "call ended", "service": "slot-desk", "route": "a/hold/", "idempotent": false, "outcome": "unknown", "reason": "deadline", "status": null, "elapsed_ms": 2000, "left_ms": 0, "attempts": [{"endpoint": "e1", "daemon": "d1", "result": "unknown deadline", "elapsed_ms": 2000}], "stands_for": 1, "daemon": "d1", "timestamp": "2026-12-03T10:00:02Z"}
      {"event": "call ended", "service": "slot-desk", "route": "a/hold/", "idempotent": false, "outcome": "unknown", "reason": "deadline", "status": null, "elapsed_ms": 2000, "left_ms": 0, "attempts": [{"endpoint": "e1", "daemon": "d1", "result": "unknown deadline", "elapsed_ms": 2000}], "stands_for": 1, "daemon": "d1", "timestamp": "2026-12-03T10:00:05Z"}
      {"event": "call ended", "service": "slot-desk", "route": "a/look/", "idempotent": true, "outcome": "not_run", "reason": "overloaded", "status": null, "elapsed_ms": 3, "left_ms": 900, "attempts": [{"endpoint": "e1", "daemon": "d1", "result": "not_run overloaded", "elapsed_ms": 3}], "stands_for": 1, "daemon": "d1", "timestamp": "2026-12-03T10:00:04Z"}
      """
    When the causes are computed from the logs of d1
    Then the causes of a/hold/ are
      | cause                                       | count |
      | deadline at a target that nobody could know | 1     |
      | deadline at a suspect target                | 1     |
    And the causes of a/look/ are
      | cause                                   | count |
      | refused overloaded, a slot was free     | 1     |
    And a/hold/ had 6 calls and a/look/ is inner
