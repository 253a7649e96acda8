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

  # An empty query was dropped on the way to the endpoint.
  Scenario Outline: The request target reaches the endpoint as it was sent
    Given a platform fleet of 2 daemons in makati, pasig
    And endpoints e1 of slot-desk beside d1
    And endpoints e2 of proof-vault beside d2
    And the operator has written configuration version 3
    And the platform fleet is ready
    When a client sends POST <target> to d2
    Then endpoint e1 has received the request target <target>

    Examples:
      | target           |
      | /hold/x?         |
      | /hold//x         |
      | /hold/./x/../y?? |
      | /hold/%41%2f?a=b |
