Feature: Failing targets are ejected, and the capacity floor is kept

  Scenario: A target that hangs while its health check answers
    Given a fleet of 3 daemons in makati, pasig
    And health targets e1, e2, e3, e4, e5, e6 of slot-desk spread over the daemons
    And the health fleet is ready with the service settings {"floor_percent": 50, "ejection_ms": 60000}
    When health traffic runs until every target has received 10 calls
    And health target e1 is given the faults {"hang": true}
    Then health target e1 receives no calls from 1 s to 4 s after the fault
    And the guard of e1 has ejected it 1 time
    And the guard of e1 refuses a call that is not floor traffic
    And the guard of e1 runs a floor traffic call after its target is given the faults {"hang": false}

  Scenario: The capacity floor is kept while all targets fail, some are drained and one daemon is partitioned
    Given links between daemons d1, d2, d3
    And a fleet of 3 daemons in makati, pasig
    And health targets e1, e2, e3, e4, e5, e6 of slot-desk spread over the daemons
    And the health fleet is ready with the service settings {"floor_percent": 60, "ejection_ms": 60000}
    When health traffic runs until every target has received 10 calls
    And all health targets are given the faults {"error_percent": 100}
    Then every daemon excludes some targets and keeps the capacity floor of 60 percent
    When target e1 is drained at d1
    And target e2 is drained at d2
    Then every daemon keeps the capacity floor of 60 percent for 2 s
    When the way from d1 to d3 is cut
    And the way from d2 to d3 is cut
    And the way from d3 to d1 is cut
    And the way from d3 to d2 is cut
    Then every daemon keeps the capacity floor of 60 percent for 3 s

  Scenario: Only the daemon whose path to a healthy target is broken excludes the target
    Given links between daemons d1, d2, d3
    And a fleet of 3 daemons in makati
    And health targets e1, e2, e3 of slot-desk spread over the daemons
    And the health fleet is ready with the service settings {"floor_percent": 50}
    When health traffic runs until every target has received 10 calls
    And the way from d1 to d2 is cut
    Then daemon d1 excludes e2
    And daemon d3 keeps e2 in service
    And the guard of e2 has ejected it 0 times
    When the links between d1 and d2 are restored
    Then daemon d1 returns e2 to service

  Scenario: Connections between daemons that no longer carry data are replaced
    Given links between daemons d1, d2
    And a fleet of 2 daemons in makati
    And health targets e1, e2 of slot-desk spread over the daemons
    And the health fleet is ready with the service settings {"floor_percent": 50}
    When health traffic runs until every target has received 10 calls
    And the open connections from d1 to d2 stop carrying data
    Then daemon d1 replaces a connection within 2 s
    And daemon d1 keeps e2 in service
    And calls of d1 reach d2 and are answered over new connections

  Scenario: A target that recovers receives calls again
    Given a fleet of 3 daemons in makati, pasig
    And health targets e1, e2, e3, e4 of slot-desk spread over the daemons
    And the health fleet is ready with the service settings {"floor_percent": 50, "ejection_ms": 2000}
    When health traffic runs until every target has received 10 calls
    And health target e1 is given the faults {"hang": true}
    Then every daemon excludes e1
    When health target e1 is given the faults {"hang": false}
    Then health target e1 receives calls within 5 s

  Scenario: A flapping target is not ejected and returned in every period
    Given a fleet of 2 daemons in makati, pasig
    And health targets e1, e2, e3, e4 of slot-desk spread over the daemons
    And the health fleet is ready with the service settings {"floor_percent": 50, "ejection_ms": 500}
    When health traffic runs until every target has received 10 calls
    And health target e1 is given the faults {"hang": true, "flap_period_s": 2.0}
    Then the guard of e1 ejects it at most 5 times in 16 s

  Scenario: Healthy targets stay in service
    Given a fleet of 2 daemons in willingdon, kakkanad
    And health targets e1, e2, e3, e4, e5, e6 of test-archive spread over the daemons
    And the health fleet is ready with the service settings {"floor_percent": 80, "eject_after": 6}
    When health traffic runs until every target has received 60 calls
    Then no guard has ejected a target

  Scenario: Targets that are all slow at once stay in service
    Given a fleet of 2 daemons in makati, pasig
    And health targets e1, e2, e3, e4, e5, e6 of slot-desk spread over the daemons
    And the health fleet is ready with the service settings {"floor_percent": 50, "ejection_ms": 60000}
    When health traffic runs until every target has received 40 calls
    And all health targets are given the faults {"latency_ms": 250}
    And every health target has received 10 more calls
    Then every daemon has all health targets in service

  Scenario: A call that cannot end before its deadline is refused at once
    Given a fleet of 1 daemons in makati
    And a health target e1 of slot-desk with 1 slot and a latency of 200 ms
    And the health fleet is ready with the service settings {"idempotent": {"methods": []}}
    When 12 health calls with a time limit of 700 ms are sent at once, after 3 sequential calls
    Then some calls are answered and the others are refused with Retry-After
    And health target e1 has run only the answered calls
