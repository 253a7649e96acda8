Feature: Settings during log outages and daemon restarts

  Scenario: A change reaches every daemon when the log fails right after accepting it
    Given a settings fleet with a log reachable by d1 only and 6 daemons in makati, pasig, taguig
    And the revisions of all daemons are sampled
    When operator amihan sets time_limit_ms of slot-desk to 700 at d1
    And the log fails and stays unreachable
    Then the operator gets the verdict accepted with exit code 0
    And within 10 s every daemon has time_limit_ms 700 for slot-desk
    When daemon d7 is started in quezon with seeds d2, d3
    And daemon d4 is replaced by one with seeds d2, d3
    Then within 10 s every daemon has time_limit_ms 700 for slot-desk
    And no daemon's revision has decreased

  Scenario: A suspended daemon catches up while the log is available
    Given a settings fleet of 4 daemons in makati, pasig
    And the revisions of all daemons are sampled
    When member d4 is frozen
    And operator amihan makes 5 changes at d1
    And member d4 goes on
    Then within 10 s all daemons hold the same settings as d1
    And no daemon's revision has decreased

  Scenario: A suspended and a replaced daemon catch up from peers during a log outage
    Given a settings fleet of 4 daemons in makati, pasig
    And the revisions of all daemons are sampled
    When member d4 is frozen
    And operator amihan makes 5 changes at d1
    And the log fails and stays unreachable
    And member d4 goes on
    And daemon d3 is replaced by one with seeds d1, d2
    Then within 10 s all daemons hold the same settings as d1
    And no daemon's revision has decreased

  Scenario: A daemon catches up after a network partition from its peers and the log
    Given a settings fleet with links around d3 and 3 daemons in makati, pasig
    And the revisions of all daemons are sampled
    When all links of d3 are cut
    And operator amihan makes 3 changes at d1
    And all links of d3 are restored
    Then within 10 s all daemons hold the same settings as d1
    And no daemon's revision has decreased

  Scenario: A daemon that starts during a log outage takes the highest revision of its peers
    Given a settings fleet with links around d3 and 3 daemons in makati, pasig
    When all links of d3 are cut
    And operator amihan makes 3 changes at d1
    And the log fails and stays unreachable
    And daemon d4 is started in pasig with seeds d1, d3
    Then the first settings that d4 applies have the revision of d1

  Scenario: An isolated daemon rejects calls that are not idempotent
    Given a settings fleet with isolation_ms 1500 and 1 daemons in makati
    And targets e1 of slot-desk beside d1
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    And every daemon of the settings fleet knows its targets
    When the log fails and stays unreachable
    Then within 10 s /readyz of d1 contains "neither log nor peer heard"
    When a caller sends one POST /slot-desk/hold to d1
    Then the status is 503
    And the problem is "not_run" because of "stale_settings"
    And the response of the stale daemon has a Retry-After header
    When a caller sends one GET /slot-desk/lookup to d1
    Then the status is 200

  Scenario: An isolated daemon accepts all calls if serve_when_stale is set
    Given a settings fleet with isolation_ms 1500 and 1 daemons in makati
    And targets e1 of slot-desk beside d1
    And operator amihan sets serve_when_stale of slot-desk to true at d1
    And every daemon of the settings fleet knows its targets
    When the log fails and stays unreachable
    Then within 10 s /readyz of d1 contains "neither log nor peer heard"
    When a caller sends one POST /slot-desk/hold to d1
    Then the status is 200

  Scenario: A daemon without settings rejects calls with the reason starting
    Given a settings fleet with an unreachable log and 1 daemons in makati
    When a caller sends one GET /slot-desk/lookup to d1
    Then the status is 503
    And the problem is "not_run" because of "starting"
