Feature: Scarce slots go to the calls whose loss costs callers most

  Scenario: An account with normal load is served beside one in a surge
    Given a target of 8 slots, and 9 accounts of 3 priorities that send 1.5 times its capacity
    And account a2 sends 5 times its usual load for 15 s
    When 40 s are played with seeds 1, 2, 3, 4, 5 under arrival, priority and cost
    Then under priority some account is served less than a quarter as often as all
    And under cost no account is served less than a quarter as often as all
    And the total worth under cost is not below that under priority, nor under arrival
    And no call that was refused has run, and none has run twice

  Scenario Outline: Each queued call is granted, evicted, cancelled or waits, once
    When <count> random operations are made on a queue of at most 200 calls with seed <seed>
    Then each call has one end, and the queue holds the others

    Examples:
      | count | seed |
      | 4000  | 1    |
      | 4000  | 2    |
      | 4000  | 3    |

  Scenario Outline: No priority starves
    Given a queue that always has calls of priorities <priorities>
    When 400 slots are granted under cost
    Then each priority waits for at most <bound> grants

    Examples: a quarter of the grants is for the lower priorities, in turn
      | priorities | bound |
      | 0, 1       | 4     |
      | 0, 1, 2    | 8     |
      | 0, 5, 9, 7 | 12    |

  Scenario: The cost of an operation grows at most in proportion to the queue
    When calls are enqueued and granted in queues of 50 and of 200 calls
    Then the longer one takes at most 4 times as many steps

  Scenario: An account in a surge does not delay the first call of another account
    Given 30 calls of account a1 wait under cost
    When a call of account a2 arrives
    Then it is among the next 2 calls that get a slot

  Scenario: Within an account, the call with the least work goes first
    Given calls of 900, 300 and 600 ms wait under cost
    When all get a slot in turn
    Then they start in the order 300, 600, 900

  Scenario: A call that can no longer meet its objective yields to those that can
    Given a call whose objective has become impossible waits under cost
    When a call of lower priority that can meet its objective arrives
    Then the call of lower priority gets the next slot
    And a full queue evicts the late call first

  Scenario: Short calls made by targets stay ahead
    Given 5 calls of 1000 ms with priority 0 wait under cost
    When a short call without an account arrives
    Then it gets the next slot

  Scenario Outline: A call whose remaining time cannot hold its work is refused at once
    Given a target with 1 slot under cost, whose calls take 1000 ms, and 2 calls wait
    When a call with <deadline_ms> ms left, <objective_ms> of them until its objective, arrives
    Then it is <result>, with the cause <cause>
    And a refusal says that the waiting calls will have started after 3000 ms

    Examples:
      | deadline_ms | objective_ms | result  | cause     |
      | 500         | 500          | refused | deadline  |
      | 1500        | 1500         | refused | deadline  |
      | 9000        | 2000         | refused | objective |
      | 9000        | 8000         | queued  | none      |

  Scenario: Refused calls of one target do not return together
    Given a target of 4 slots under cost, whose calls take 1000 ms, and 16 calls wait
    When 50 calls with 30000 ms left, 1000 of them until their objective, are refused
    Then each of the first 24 is told to return 250 ms after the one before it
    And none is told to return before 4250 ms, when the waiting calls have started, nor after 10000 ms

  Scenario Outline: Cancellation, draining and eviction lose no slot
    Given a target with 2 slots under <policy>
    When 6 calls use it, of which one is cancelled as it waits and one as it gets its slot
    Then all others run, and all slots are free at the end
    When the queue is emptied while 4 calls wait
    Then each of them gets an error of its own, and all slots are free at the end

    Examples:
      | policy   |
      | priority |
      | cost     |

  Scenario Outline: Waiting calls keep their places when the policy changes
    Given 5 calls wait under <before>
    When the policy becomes <after>
    Then all 5 get a slot, and a cancelled one leaves the queue

    Examples:
      | before   | after    |
      | priority | cost     |
      | cost     | priority |

  Scenario: The work of a route is a distribution
    Given half of the calls of a route take 100 ms and half take 1000 ms
    Then a call of it ends within 300 ms with a likelihood of 0.5
    And a call of it ends within 50 ms with a likelihood of 0.0
    And a call of it ends within 1300 ms with a likelihood of 1.0
    And if elsewhere it takes 55 ms, a call ends within 150 ms with a likelihood of 1.0

  Scenario: What is kept for accounts and routes is bounded
    When 20000 accounts and 20000 routes appear one after the other
    Then at most 64 idle accounts, 256 routes and 51 labels are kept

  Scenario Outline: Documents with tenants select the cost policy
    When a document <with> tenants is decoded
    Then the queue policy of the fleet is <policy>

    Examples:
      | with    | policy   |
      | with    | cost     |
      | without | priority |
