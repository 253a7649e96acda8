Feature: Replication of settings between daemons

  Scenario: A peer that does not reply to a fetch does not delay newer settings
    Given a daemon that replicates settings with peers d2, d3, d4
    And d2 and d3 hold revision 7, and d2 does not reply to requests
    When d3 and then d2 report revision 7
    Then the daemon holds revision 7 before its fetch from d2 times out

  Scenario: Several peers that do not reply do not delay newer settings
    Given a daemon that replicates settings with peers d2, d3, d4, d5, d6
    And d2, d3, d4, d5 and d6 hold revision 7, and all but d6 do not reply to requests
    When d6, d5, d4, d3 and then d2 report revision 7
    Then the daemon holds revision 7 within 1 s

  Scenario: A peer that does not reply to a push gets the report of the next revision
    Given a daemon that replicates settings with peers d2, d3, d4
    And d2 does not reply to requests
    When the daemon restores revision 7 and then, 1 s later, revision 8
    Then d2 gets a request with revision 8 within 0.5 s

  Scenario: A peer that does not reply to a push does not delay reports to others
    Given a daemon that replicates settings with peers d2, d3, d4
    And d2 does not reply to requests
    When the daemon restores revision 7 and then revision 8
    Then d3 and d4 get reports of revision 8 before the push to d2 times out

  Scenario: The connection of a push that gets no reply is replaced
    Given a daemon that replicates settings with peers d2, d3, d4
    And d2 does not reply to requests
    When the daemon restores revision 7 and then revision 8
    Then the daemon replaces its connection to d2 and no other

  Scenario Outline: A service that newer settings may contain is not refused: <settings>
    Given a daemon whose settings contain the service slot-desk and are <settings>
    Then a heartbeat of service new-desk gets status <heartbeat status>
    And a call with an operation key for service new-desk is not run: <reason>

    Examples:
      | settings                 | heartbeat status | reason          |
      | the newest               | 400              | no_such_service |
      | older than a peer's ones | 200              | stale_settings  |
      | not confirmed            | 200              | stale_settings  |

  Scenario Outline: A new connection gets <limit_ms> ms to be established
    Given a peer address whose connections are not accepted
    When settings are requested there over a new connection with <limit_ms> ms to connect
    Then the request fails, but not before <limit_ms> ms have passed

    Examples:
      | limit_ms |
      | 400      |
      | 1000     |
