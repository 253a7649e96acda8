Feature: Requests through daemons on the platform

  Background:
    Given a platform fleet of 2 daemons in makati, pasig
    And endpoints e1 of slot-desk beside d1
    And endpoints e2 of proof-vault beside d2
    And the operator has written configuration version 3
    And the platform fleet is ready

  Scenario: Every daemon sends requests to the service of the matching route
    When a client sends GET /lookup/a to each daemon
    Then all client responses have status 200 and come from slot-desk
    When a client sends GET /proof/a to each daemon
    Then all client responses have status 200 and come from proof-vault

  Scenario: Requests to an endpoint carry the caller service and a deadline
    When a client sends POST /hold/a to d2
    Then the client response has status 200, the id of its request and the stamp of e1
    And endpoint e1 has run the request for caller service proof-vault with at most 1500 ms left

  Scenario: A request that matches no route gets status 404
    When a client sends GET /none/a to d1
    Then the client response has status 404

  Scenario: A daemon without a configuration responds with 503 and Retry-After
    Given the store is down
    And platform daemon d3 is started in taguig
    When a client sends GET /lookup/a to d3
    Then the client response has status 503
    And its Retry-After is a positive number

  Scenario: All daemons apply a newer configuration and ignore an older one
    When the operator writes configuration version 9 that routes lookups to proof-vault
    Then every daemon has revision 9 within 5 s
    When a client sends GET /lookup/a to each daemon
    Then all client responses have status 200 and come from proof-vault
    When the operator writes configuration version 5 that routes lookups to slot-desk
    And a client sends GET /lookup/a to each daemon
    Then all client responses have status 200 and come from proof-vault

  Scenario: An undecodable configuration leaves the previous one in force
    When the operator writes the bytes "not a configuration"
    And a client sends GET /lookup/a to each daemon
    Then all client responses have status 200 and come from slot-desk

  Scenario: A configuration change is applied after older records were dropped
    When the store drops the configuration records before offset 1
    And the operator writes configuration version 9 that routes lookups to proof-vault
    Then every daemon has revision 9 within 5 s

  Scenario: An endpoint that reports draining receives no more requests
    When endpoint e1 reports the state draining
    Then daemons d1 and d2 show e1 as draining within 5 s
    When a client sends POST /hold/a to d1
    Then the client response has status 503
    And endpoint e1 has run 0 requests

  Scenario: A request rejected by its endpoint is not run and gets 503 with Retry-After
    When endpoint e1 has the faults {"shed": true}
    And a client sends POST /hold/a to d2
    Then the client response has status 503
    And its Retry-After is a positive number
    And endpoint e1 has run 0 requests

  Scenario: A request is not run when another instance listens at the endpoint's address
    When endpoint e1 has the faults {"instance": "i-other", "beating": false}
    And a client sends POST /hold/a to d2
    Then the client response has status 503
    And endpoint e1 has run 0 requests

  Scenario: A response with the id of another request is not forwarded
    When endpoint e1 has the faults {"wrong_id": 1}
    And a client sends POST /hold/a to d2
    Then the client response has status 504

  Scenario: A response without a length is complete when its connection closes
    When endpoint e1 has the faults {"open_ended": true}
    And a client sends POST /hold/a to d2
    Then the client response has status 200 and the body "first half,second half"

  Scenario: A response without a length is incomplete when its connection is reset
    When endpoint e1 has the faults {"open_ended": true, "cut": 1}
    And a client sends POST /hold/a to d2
    Then the client gets no complete response

  Scenario: Invalid heartbeats get status 400 and register no endpoint
    When invalid heartbeats are sent to d1
    Then each of them gets status 400
    And no daemon lists an endpoint other than e1, e2

  Scenario: After SIGTERM a daemon is not ready but still serves requests
    When platform daemon d2 gets SIGTERM
    Then d2 is not ready within 1 s
    And an immediate GET /proof/a to d2 gets status 200

  Scenario: A changed settings file is reloaded without a signal
    When the settings file of d2 is changed to caller service slot-desk
    And a client repeats POST /hold/a at d2 until its caller service is not proof-vault
    Then endpoint e1 has run the request for caller service slot-desk with at most 1500 ms left

  Scenario: A daemon still serves requests after SIGHUP reloads its settings
    When platform daemon d2 gets SIGHUP
    And a client sends GET /proof/a to d2
    Then the client response has status 200
