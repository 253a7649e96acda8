Feature: Validation of the daemon settings file

  Scenario Outline: The error for an invalid setting names the setting and its line
    Given a daemon settings file with "<name>" set to <value>
    When the daemon is started with that file
    Then its exit code is 2
    And it prints "daemon.jsonc:<line>: <message>"

    Examples:
      | name           | value          | line | message                                                    |
      | colour         | 3              | 10   | setting "colour" does not exist                            |
      | peer_address   | "nowhere:7003" | 7    | setting "peer_address": "nowhere:7003" is not IP:PORT      |
      | target_address | "10.0.0.1:1"   | 8    | setting "target_address": "10.0.0.1:1" is not loopback     |
      | data_centre    | ""             | 4    | setting "data_centre" is missing                           |
      | log_format     | "prose"        | 10   | setting "log_format": "prose" is none of json, console     |
      | drain_ms       | Infinity       | 10   | setting "drain_ms"                                         |

  Scenario Outline: A number that is computed from a ratio may have a fraction
    Given a daemon settings file with "<name>" set to <value>
    Then the daemon reads <used> as its "<name>"

    Examples: limits are rounded down, minimums are rounded up
      | name                     | value  | used |
      | retry_slack_attempts     | 64.5   | 64   |
      | retry_budget_percent     | 12.5   | 12   |
      | floor_percent            | 70.01  | 71   |
      | drain_ms                 | 6000.7 | 6000 |
      | announcement_interval_ms | 1333.3 | 1334 |
      | floor_percent            | 70.0   | 70   |

  Scenario: A file that is read again during startup takes effect
    Given a daemon settings file with "caller_service" set to "slot-desk"
    When its "caller_service" is changed to "proof-vault" and read before the daemon has its parts
    Then the parts of the daemon get "proof-vault" as "caller_service"
