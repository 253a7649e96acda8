Feature: Requests are routed by the longest prefix, byte for byte

  # A hold whose path has an empty segment was handled as an idempotent lookup.
  Scenario Outline: An empty segment does not change the route
    Given routes for /slots/, /slots/hold/, /slots//odd/ and /exact
    Then the path <path> is routed by <prefix>

    Examples:
      | path                  | prefix       |
      | /slots/hold/17        | /slots/hold/ |
      | /slots/hold//17       | /slots/hold/ |
      | /slots/hold///        | /slots/hold/ |
      | /slots/hold/          | /slots/hold/ |
      | /slots/hold           | /slots/      |
      | /slots//hold/17       | /slots/      |
      | /slots//1             | /slots/      |
      | /slots//odd/1         | /slots//odd/ |
      | /slots/./hold/1       | /slots/      |
      | /slots/hold/../1      | /slots/hold/ |
      | /slots/%68old/1       | /slots/      |
      | //slots/1             | none         |
      | /slot                 | none         |
      | /exact                | /exact       |
      | /exact/1              | none         |
      | /                     | none         |

  Scenario: The route is that of a plain search for the longest prefix
    Then this holds for 2000 drawn sets of routes and paths

  Scenario: A path of many slashes is routed quickly
    Given routes for /slots/, /slots/hold/, /slots//odd/ and /exact
    Then a path of 60000 slashes is routed within 20 ms
