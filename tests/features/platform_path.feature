Feature: The whole path on the platform

  Background:
    Given a platform fleet of 2 daemons in makati, pasig
    And endpoints e1 of slot-desk beside d1
    And endpoints e2 of proof-vault beside d2
    And the operator has written configuration 3
    And the platform fleet is ready

  Scenario: Requests reach the service of their route from every daemon
    When a client sends GET /lookup/a to each daemon
    Then all client answers are 200 from slot-desk
    When a client sends GET /proof/a to each daemon
    Then all client answers are 200 from proof-vault

  Scenario: An endpoint gets the fields that the platform asks for
    When a client sends POST /hold/a to d2
    Then the client answer is 200 with its own id and a stamp
    And endpoint e1 has run it on behalf of proof-vault within 1500 ms

  Scenario: What no route allows is refused with 404
    When a client sends GET /none/a to d1
    Then the client answer is 404

  Scenario: A daemon that knows no configuration answers 503
    Given the store is down
    And platform daemon d3 is started in taguig
    When a client sends GET /lookup/a to d3
    Then the client answer is 503
    And its Retry-After is a positive number

  Scenario: A newer configuration is in force everywhere, an older one never
    When the operator writes configuration 9 with lookups to proof-vault
    Then every daemon has revision 9 within 5 s
    When a client sends GET /lookup/a to each daemon
    Then all client answers are 200 from proof-vault
    When the operator writes configuration 5 with lookups to slot-desk
    And a client sends GET /lookup/a to each daemon
    Then all client answers are 200 from proof-vault

  Scenario: A configuration that cannot be read changes nothing
    When the operator writes the bytes "not a configuration"
    And a client sends GET /lookup/a to each daemon
    Then all client answers are 200 from slot-desk

  Scenario: A change arrives though its record was dropped from the history
    When the store drops its history
    And the operator writes configuration 9 with lookups to proof-vault
    Then every daemon has revision 9 within 5 s

  Scenario: An endpoint that reports draining gets nothing more
    When endpoint e1 reports the state draining
    Then daemons d1 and d2 show e1 as draining within 5 s
    When a client sends POST /hold/a to d1
    Then the client answer is 503
    And endpoint e1 has run 0 requests

  Scenario: A request that an endpoint turned away is not run and may come back
    When endpoint e1 has {"shed": true}
    And a client sends POST /hold/a to d2
    Then the client answer is 503
    And its Retry-After is a positive number
    And endpoint e1 has run 0 requests

  Scenario: Another endpoint at the address turns requests away
    When endpoint e1 has {"instance": "i-other", "beating": false}
    And a client sends POST /hold/a to d2
    Then the client answer is 503
    And endpoint e1 has run 0 requests

  Scenario: An answer for another request is never passed on
    When endpoint e1 has {"wrong_id": 1}
    And a client sends POST /hold/a to d2
    Then the client answer is 504

  Scenario: An answer without a length is whole when its connection closes
    When endpoint e1 has {"open_ended": true}
    And a client sends POST /hold/a to d2
    Then the client answer is 200 with the body "first half,second half"

  Scenario: An answer without a length is not whole when its connection is reset
    When endpoint e1 has {"open_ended": true, "cut": 1}
    And a client sends POST /hold/a to d2
    Then the client gets no complete answer

  Scenario: Junk heartbeats name no endpoint and do no harm
    When junk heartbeats are sent to d1
    Then all of them are answered with 400
    And no daemon knows an endpoint besides e1, e2

  Scenario: Readiness ends with SIGTERM, service goes on
    When platform daemon d2 gets SIGTERM
    Then d2 is not ready within 1 s
    And a client that sends GET /proof/a to d2 at once gets 200

  Scenario: A settings file that has changed is read again without a signal
    When the file of d2 names the caller's service slot-desk
    And d2 is sent POST /hold/a until it is not from proof-vault
    Then endpoint e1 has run it on behalf of slot-desk within 1500 ms

  Scenario: SIGHUP reads the settings again and ends nothing
    When platform daemon d2 gets SIGHUP
    And a client sends GET /proof/a to d2
    Then the client answer is 200
