Feature: Settings while the log is away and daemons come and go

  Scenario: The log fails the instant after a change was accepted
    Given a settings fleet whose log only d1 reaches of 6 daemons in makati, pasig, taguig
    And the revisions of all daemons are sampled
    When operator amihan sets time_limit_ms of slot-desk to 700 at d1
    And the log fails and stays away
    Then the operator is told accepted with exit code 0
    And within 10 s every daemon has time_limit_ms of slot-desk at 700
    When daemon d7 is started in quezon with seeds d2, d3
    And daemon d4 is replaced by one with seeds d2, d3
    Then within 10 s every daemon has time_limit_ms of slot-desk at 700
    And no daemon's revision has gone down

  Scenario: Suspended daemons catch up with the log up
    Given a settings fleet of 4 daemons in makati, pasig
    And the revisions of all daemons are sampled
    When member d4 is frozen
    And operator amihan makes 5 changes at d1
    And member d4 goes on
    Then within 10 s all daemons hold the same settings as d1
    And no daemon's revision has gone down

  Scenario: A suspended and a replaced daemon catch up with the log away
    Given a settings fleet of 4 daemons in makati, pasig
    And the revisions of all daemons are sampled
    When member d4 is frozen
    And operator amihan makes 5 changes at d1
    And the log fails and stays away
    And member d4 goes on
    And daemon d3 is replaced by one with seeds d1, d2
    Then within 10 s all daemons hold the same settings as d1
    And no daemon's revision has gone down

  Scenario: A daemon that is cut off from its peers and the log is replaced on healing
    Given a settings fleet with links around d3 of 3 daemons in makati, pasig
    And the revisions of all daemons are sampled
    When all ways of d3 are cut
    And operator amihan makes 3 changes at d1
    And all ways of d3 are healed
    Then within 10 s all daemons hold the same settings as d1
    And no daemon's revision has gone down

  Scenario: A daemon that starts from peers takes the highest revision of several
    Given a settings fleet with links around d3 of 3 daemons in makati, pasig
    When all ways of d3 are cut
    And operator amihan makes 3 changes at d1
    And the log fails and stays away
    And daemon d4 is started in pasig with seeds d1, d3
    Then the first settings that d4 puts in force have the revision of d1

  Scenario: A daemon that hears nothing refuses what must not run twice
    Given a settings fleet with isolation_ms 1500 of 1 daemons in makati
    And targets e1 of slot-desk beside d1
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    And every daemon of the settings fleet knows its targets
    When the log fails and stays away
    Then within 10 s readyz of d1 says "neither log nor peer heard"
    When a caller sends one POST /slot-desk/hold to d1
    Then the status is 503
    And the problem is "not_run" because of "stale_settings"
    And the answer of the stale daemon says when to come back
    When a caller sends one GET /slot-desk/lookup to d1
    Then the status is 200

  Scenario: A setting lets a daemon that hears nothing run everything
    Given a settings fleet with isolation_ms 1500 of 1 daemons in makati
    And targets e1 of slot-desk beside d1
    And operator amihan sets serve_when_stale of slot-desk to true at d1
    And every daemon of the settings fleet knows its targets
    When the log fails and stays away
    Then within 10 s readyz of d1 says "neither log nor peer heard"
    When a caller sends one POST /slot-desk/hold to d1
    Then the status is 200

  Scenario: A daemon without settings says that it is starting
    Given a settings fleet whose log is away of 1 daemons in makati
    When a caller sends one GET /slot-desk/lookup to d1
    Then the status is 503
    And the problem is "not_run" because of "starting"
