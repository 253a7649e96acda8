Feature: The memory that a daemon holds for others has one owner

  Background:
    Given a memory budget for a limit of 200 MB of which the process needs 100 MB

  Scenario: What costs callers least is refused first
    When memory is reserved in steps of 100 KB for each purpose in turn until it is refused
    Then the purposes were refused in the order of their ceilings
    And the budget holds at most 60 MB

  Scenario: What is released can be reserved again
    Given the budget is full of uploads
    When all uploads are released
    Then nothing is held for any purpose
    And an upload finds room

  Scenario: Those that wait for room get it in their order
    Given the budget is full of responses
    When 3 responses wait for room and 2 that are held are released
    Then the first 2 of them got room, and the last one did not

  Scenario: The responses of targets cannot keep those of callers from room
    Given the budget is full of target responses
    When a target response waits for room
    Then a response finds room

  Scenario: A response that stops waiting leaves nothing reserved
    Given the budget is full of responses
    When a response that waits for room is cancelled as it gets it
    Then what is held is what is held by the others

  Scenario: A limit below what the process needs leaves room for one transfer
    Given a memory budget for a limit of 50 MB of which the process needs 70 MB
    Then an upload finds room

  Scenario: Responses that find no room, not even to wait, are refused
    Given the budget is full of unsent answers
    Then a response is refused without waiting

  Scenario Outline: Requests that are held leave room for the responses of calls that have run
    Given the budget is full of <what clients hold>
    Then a target response finds room
    And a response finds room

    Examples:
      | what clients hold |
      | uploads           |
      | bodies            |
      | header sections   |
      | received bytes    |
      | calls             |
