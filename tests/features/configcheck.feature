Feature: A configuration is checked before it is published

  # Without the check, each of these came into force and was found by its effect.
  Scenario Outline: Entries of a settings file without effect, and contradictions
    When a settings file with services a and b, <section> and nothing in force is checked
    Then it finds the <severity> on line 2 at <place>: <reason>

    Examples:
      | section | severity | place | reason |
      | "routes": [{"host": "H", "path_prefix": "/", "service": "a"}] | warning | route:H/ | the host never matches |
      | "routes": [{"host": "h", "path_prefix": "/", "service": "c"}] | warning | route:h/ | service "c" is not configured |
      | "routes": [] | warning | service:b | no route leads to the service |
      | "routes": [{"path_prefix": "/", "backends": [{"service": "a", "weight": 0}, {"service": "b", "weight": 1}]}] | warning | route:/ | backend "a" has weight 0 |
      | "routes": [{"path_prefix": "/", "service": "a", "latency_objective_ms": 1001}] | warning | route:/ | latency_objective_ms 1001 is over the time limit of 1000 ms |
      | "routes": [{"path_prefix": "/", "service": "a", "time_limit_ms": 9, "latency_objective_ms": 10}] | warning | route:/ | latency_objective_ms 10 is over the time limit of 9 ms |
      | "routes": [{"path_prefix": "/", "service": "a", "idempotent": false, "attempt_limit": 2}] | note | route:/ | attempt_limit 2 |
      | "accounts": {"x": {}} | warning | account:x | account "x" has no key |
      | "accounts": {"x": {"keys": ["k-1"]}, "y": {"keys": ["k-1"]}} | warning | account:x | accounts "x", "y" name the same key |
      | "accounts": {"x": {"keys": ["k-1"], "calls_per_s": 0.19}} | warning | account:x | calls_per_s 0.19 is less than one call |
      | "accounts": {"x": {"keys": ["k-1"], "calls_per_s": 0.19, "burst_calls": 1}} | note | account:x | calls_per_s 0.19 is less than one call |
      | "fleet": {"retry_budget_percent": 0, "attempt_limit": 2} | warning | fleet | retry_budget_percent 0 disables retries |
      | "fleet": {"floor_percent": 100} | note | fleet | floor_percent 100 disables ejection |
      | "fleet": {"floor_percent": 101} | error | FILE | setting "floor_percent" is 101 |
      | "routes": [{"path_prefix": "/", "service": "a", "time_limit_ms": 0}] | error | FILE | setting "time_limit_ms" is 0 |
      | "routes": [5] | error | FILE | a route is not an object |
      | "fleet": 5 | error | FILE | the value is not an object |

  # A value that daemons adjust, or an entry that keeps the document out of force, was
  # seen only in the alarm of the daemons, without its line.
  Scenario Outline: Entries of a document of the platform
    When a document whose second route has <fields> is checked
    Then it finds the <severity> on line 3 at <place>: <reason>

    Examples:
      | fields | severity | place | reason |
      | "max_attempts": 101 | warning | route h/b/ | max_attempts is 101; daemons would use 100 |
      | "timeout_s": 1e999 | warning | route h/b/ | daemons would use 3600000 |
      | "route_type": null, "timeout_s": "x" | error | routes 2 | TypeError |
      | "path_prefix": "/c/" | warning | route:h/c/ | it occurs 2 times |
      | "service": "B" | warning | route:h/b/ | is not configured |

  # Operators could not see which keys and values a version replaces.
  Scenario: Differences from the version in force name fields, and keys by digest
    Given place service:a, accounts x and y with keys and route:old/ in force
    When a settings file that changes them is checked
    Then the differences are those of each field, and no key is shown
    And a service in force that the file does not have is not reported as missing

  # The check must agree with what publish would do, and must not publish itself.
  Scenario: A check against a daemon sends nothing
    Given a settings fleet of 1 daemons in makati
    When operator amihan sets time_limit_ms of slot-desk to 700 at d1
    And a file that sets slots of slot-desk to 7 is checked at d1
    Then it shows the differences, and the revision at d1 stays the same

  # Scripts take the exit code as the result.
  Scenario Outline: Exit codes
    When laburnumscalectl checks a file with <content> for platform <platform>
    Then it exits with <code>

    Examples:
      | content | platform | code |
      | {"fleet": {"floor_percent": 0}} | none | 0 |
      | {"accounts": {"x": {}}} | none | 1 |
      | {"flet": {}} | none | 1 |
      | {"fleet": | none | 2 |
      | {"version": | laburnumscale_platform | 2 |
      | {} | laburnumscale_platform | 1 |
      | {} | laburnumscale | 2 |
