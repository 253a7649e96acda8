Feature: Confirmed configurations are in force on every daemon in time

  Background:
    Given a linked platform fleet of 4 daemons in makati, with links from d4 to the others and the store
    And endpoints e1 of slot-desk beside d4
    And the operator has written configuration version 3
    And the platform fleet is ready
    When the operator writes configurations until d4 gets them only from its peers

  Scenario: Silent connections to peers do not delay the configurations of a daemon
    When all open connections of d4 to its peers become silent
    And the operator writes a configuration every 400 ms for 4 s, each with a new route
    Then d4 routes each request that is sent 2 s after a route was added

  Scenario: A missing route gets no final 404 while peers report newer settings
    When all links of d4 are cut
    And the operator adds the route /added/, which every daemon but d4 has in force
    And a client sends GET /added/a to d4
    Then the client response has status 503
    And its Retry-After is a positive number
    When all links of d4 are restored
    Then within 2 s a GET /added/a to d4 gets status 200
    When a client sends GET /none/a to d4
    Then the client response has status 404

  Scenario: The wait for newer settings is a part of the time that the caller allows
    When all links of d4 are cut
    And the operator adds the route /added/, which every daemon but d4 has in force
    And the links of d4 are restored 200 ms after a client sent it GET /added/a
    Then the client response has status 200
    And endpoint e1 has run the request for caller service proof-vault with at most 1350 ms left

  Scenario: A daemon that cannot fetch reported settings from its peers reads the store
    When the links of d4 to its peers are cut
    And the operator adds the route /added/, which every daemon but d4 has in force
    Then within 2 s a GET /added/a to d4 gets status 200
