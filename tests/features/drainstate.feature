Feature: Decisions of a daemon that drains

  Scenario: A process that was suspended past its notice period accepts no work
    Given a drain of 400 ms that has begun
    Then work is accepted
    When the process is suspended for 250 ms
    Then work is not accepted

  Scenario: The notice period leaves time for the work of a long drain
    Given a drain of 60000 ms that has begun
    Then the notice period ends within 3000 ms

  Scenario: A drain without time accepts no work
    Given a drain of 0 ms that has begun
    Then work is not accepted

  Scenario Outline: Work ends by the end of the drain or by its own deadline
    Given a drain of <drain_ms> ms that has begun
    Then work with <left_ms> ms left ends within <limited_ms> ms

    Examples:
      | drain_ms | left_ms | limited_ms |
      | 2000     | 60000   | 2000       |
      | 60000    | 2000    | 2000       |

  Scenario: A second request to stop does not prolong the drain
    Given a drain of 200 ms that has begun
    When the process is suspended for 150 ms
    And the drain is begun again for 60000 ms
    Then work is not accepted
    And work with 60000 ms left ends within 200 ms

  Scenario: Work in progress is cut off and reports it
    Given a drain of 200 ms that has begun
    When 3 pieces of work are in progress when the drain cuts off work
    Then all 3 pieces of work report that they were cut off

  Scenario: Work that begins after the cut is cut off at its first wait
    Given a drain of 200 ms that has begun
    When 2 pieces of work begin after the drain has cut off work
    Then all 2 pieces of work report that they were cut off

  Scenario: Work that its caller gives up is not reported as cut off
    Given a drain of 200 ms that has begun
    When work is cancelled by its caller before the drain cuts off work
    Then the work reports that its caller gave up
