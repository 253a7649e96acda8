Feature: A document that the platform has accepted comes into force

  # One route with 12 attempts kept the fleet on the version before, for good.
  Scenario Outline: A value that a setting does not allow does not hold up the document
    Given a daemon that holds version 7, in which holds go to slot-desk
    When version 9 moves holds to slot-desk-2, and its route of lookups has <field> <value>
    Then version 9 is in force and holds go to slot-desk-2
    And lookups have the <setting> <used>
    And the daemon has reported the adjustment: <reported>

    Examples: numbers of a route
      | field            | value   | setting              | used    | reported |
      | max_attempts     | 12      | attempt_limit        | 12      | no       |
      | max_attempts     | 2.0     | attempt_limit        | 2       | no       |
      | max_attempts     | 100     | attempt_limit        | 100     | no       |
      | max_attempts     | 101     | attempt_limit        | 100     | yes      |
      | max_attempts     | 1e30    | attempt_limit        | 100     | yes      |
      | max_attempts     | 0       | attempt_limit        | 1       | yes      |
      | max_attempts     | -3      | attempt_limit        | 1       | yes      |
      | max_attempts     | null    | attempt_limit        | unset   | no       |
      | timeout_s        | 1200    | time_limit_ms        | 1200000 | no       |
      | timeout_s        | 0.0001  | time_limit_ms        | 1       | yes      |
      | timeout_s        | 1e999   | time_limit_ms        | 3600000 | yes      |
      | target_latency_s | 1e300   | latency_objective_ms | 3600000 | yes      |
      | target_latency_s | 4294968 | latency_objective_ms | 3600000 | yes      |
      | priority         | -1      | priority             | 0       | yes      |
      | priority         | 5000000 | priority             | 1000000 | yes      |
      | priority         | 3.0     | priority             | 3       | no       |
      | new_field        | [1, 2]  | attempt_limit        | 2       | no       |

    Examples: what else a route holds
      | field             | value                                                | setting    | used          | reported |
      | route_type        | "sometimes"                                          | idempotent | False         | yes      |
      | service           | "Desk_2"                                             | service    | hex.4465736b5f32 | no    |
      | weighted_backends | [{"service": "a", "weight": 0.9}, {"service": "b", "weight": 0.1}] | backends | a 900000, b 100000 | no |
      | weighted_backends | [{"service": "a", "weight": 2}, {"service": "b", "weight": 1e12}] | backends | a 1, b 1000000 | no |
      | weighted_backends | [{"service": "a", "weight": 0}, {"service": "b", "weight": 0}] | backends | a 1, b 1 | yes |
      | weighted_backends | [{"service": "a", "weight": 90.0}, {"service": "b", "weight": 10}] | backends | a 90, b 10 | no |

  Scenario Outline: A value of a service or a limit does not hold up the document
    Given a daemon that holds version 7, in which holds go to slot-desk
    When version 9 moves holds to slot-desk-2, and has <part> with <field> <value>
    Then version 9 is in force and holds go to slot-desk-2
    And the daemon has reported the adjustment: <reported>

    Examples:
      | part     | field            | value    | reported |
      | services | max_connections  | 2000000  | yes      |
      | services | max_connections  | -1       | yes      |
      | services | max_connections  | null     | no       |
      | services | max_connections  | 330.0    | no       |
      | services | name             | "a/b @c" | no       |
      | limits   | max_header_bytes | 16384    | no       |
      | limits   | max_header_bytes | 1048576  | yes      |
      | limits   | idle_timeout_s   | 600      | yes      |

  Scenario: A large document comes into force
    Given a daemon that holds version 7, in which holds go to slot-desk
    When version 9 moves holds to slot-desk-2, and has 1200 further routes in 256 KiB
    Then version 9 is in force and holds go to slot-desk-2
    And a peer that receives its tree holds version 9

  Scenario: Any document of the platform comes into force
    Then this holds for 200 drawn documents with valid fields

  # A version that is not in force must be an alarm, never only a log line.
  Scenario: A document that cannot be applied is reported until a newer one is in force
    Given a daemon that holds version 7, in which holds go to slot-desk
    When the bytes "[" are written in place of a document
    Then its status reports that newer settings are not in force
    And the counter of invalid records is 1
    When version 9 moves holds to slot-desk-2, and its route of lookups has max_attempts 2
    Then its status reports no problem of the settings

  Scenario Outline: Names of services stay different when they are translated
    Then the service <name> is called <translated> in the settings

    Examples:
      | name       | translated             |
      | huvo11a    | huvo11a                |
      | Desk       | hex.4465736b           |
      | hex.41     | hex.6865782e3431       |
      | desk_      | hex.6465736b5f         |
