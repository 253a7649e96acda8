Feature: Calls of client accounts through daemons

  Background:
    Given a linked platform fleet of 2 daemons in makati, with links between d2 and the others and to the store
    And endpoints e1 of slot-desk beside d1
    And endpoints e2 of proof-vault beside d2

  Scenario: Targets get the account's name and nobody else gets its key
    Given the operator has written version 4 with the tenants acme key-1; bravo key-2
    And the platform fleet is ready
    Then requests through d1 with these fields get these statuses, and targets these fields
      | path      | fields                                      | status | target         |
      | /lookup/a | X-Key: key-1, X-Tenant: bravo, x_tenant: no | 200    | X-Tenant: acme |
      | /lookup/a | X-Key: key-2                                | 200    | X-Tenant: bravo |
      | /lookup/a | X-Tenant: acme                              | 401    |                |
      | /lookup/a | X-Key: key-3                                | 401    |                |
      | /proof/a  | X-Key: key-1, X-Tenant: acme                | 200    |                |
    And an operation key with the answer for key-1 at d1 gets status 422 for key-2 at d2
    And laburnumscalectl at d1 shows 2 accounts with answered calls, and acme for key-1
    And no log, metric or problem document contains a key

  # A key that is checked once for each connection would stay valid as long as that.
  Scenario: Versions take and move keys while connections are open
    Given the operator has written version 4 with the tenants acme key-1 key-2; bravo key-3
    And the platform fleet is ready
    When clients keep connections to each daemon
    Then the keys key-1, key-2, key-3 get acme, acme, bravo on them
    When the operator has written version 5 with the tenants acme key-2; bravo key-3
    Then the keys key-1, key-2, key-3 get 401, acme, bravo on them
    When the operator has written version 6 with the tenants acme; bravo key-2 key-3
    Then the keys key-1, key-2, key-3 get 401, bravo, bravo on them

  # A 401 for a key that the newest version holds would be wrong.
  Scenario: A daemon that is cut off keeps to the keys that it knows
    Given the operator has written version 4 with the tenants acme key-1; bravo key-3
    And endpoints e3 of slot-desk beside d2
    And the platform fleet is ready
    When all links of d2 are cut
    And the operator has written version 5 with the tenants bravo key-2 key-3
    Then d1 gives key-1 status 401 and key-2 status 200, d2 gives them 200 and 503
    When all links of d2 are restored
    Then d1 gives key-1 status 401 and key-2 status 200, d2 gives them 401 and 200
    Given the store is down
    And platform daemon d3 is started in makati
    Then d3 gives key-1 status 503 and key-3 status 503

  Scenario: A deployment without accounts forwards both fields
    Given the operator has written configuration version 3
    And the platform fleet is ready
    Then requests through d2 with these fields get these statuses, and targets these fields
      | path      | fields                       | status | target                       |
      | /lookup/a | X-Key: key-1, X-Tenant: acme | 200    | X-Key: key-1, X-Tenant: acme |
