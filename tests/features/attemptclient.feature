Feature: Replies of an attempt at the daemon of its caller

  Scenario: A caller that reads slowly gets an end when the attempt runs out of time
    Given an attempt that yields replies until its deadline in 200 ms
    When its replies are read only after 400 ms
    Then the replies end within 1000 ms
