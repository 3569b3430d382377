Feature: reservations of large tasks

  Scenario: small tasks fragment every minion, so that a large task never fits
    Given 8 minions of 8 processors with look-ahead on
    And a stream "small" of 8 waiting tasks of 1 processors for 1.3 s
    And 3.0 s have passed
    When job "large" of 1 task of 8 processors for 2.0 s is submitted
    And 14.0 s pass
    Then job "large" has waited less than 12.0 s
    And every "small" task has waited less than 2.0 s

  Scenario Outline: a convoy forms behind a wide step, or tasks beside it keep the step from starting
    Given 8 minions of 8 processors with look-ahead on
    And a stream "small" of 8 waiting tasks of 3 processors for 1.1 s
    And a stream "brief" of 2 waiting tasks of 1 processors for 0.3 s
    And 3.0 s have passed
    When job "wide" of 8 <kind> tasks of 6 processors for 2.0 s is submitted
    And 14.0 s pass
    Then job "wide" has waited less than 12.0 s
    And every "brief" task has waited less than 2.0 s

    Examples:
      | kind   |
      | gang   |
      | spread |

  Scenario: estimates that are all too short let every small task in before a reservation
    Given 8 minions of 8 processors with look-ahead on
    And a stream "small" of 8 waiting tasks of 1 processors for 1.5 s estimated at 0.15 s
    And 3.0 s have passed
    When job "large" of 1 task of 8 processors for 2.0 s estimated at 0.2 s is submitted
    And 14.0 s pass
    Then job "large" has waited less than 12.0 s
    And every "small" task has waited less than 2.0 s

  Scenario: all minions are full but one, and the reservation is on a full one
    Given 6 minions of 8 processors with look-ahead on
    And job "long" of 5 tasks of 8 processors for 25 s
    And 0.5 s have passed
    And a stream "small" of 4 waiting tasks of 1 processors for 1.3 s
    And 2.0 s have passed
    When job "large" of 1 task of 8 processors for 2.0 s is submitted
    And 14.0 s pass
    Then job "large" has waited less than 12.0 s

  Scenario Outline: a reservation stays on a minion that can't keep it
    Given 8 minions of 8 processors with look-ahead on
    And a stream "small" of 8 waiting tasks of 1 processors for 1.3 s
    And 3.0 s have passed
    When job "large" of 1 task of 8 processors for 2.0 s is submitted
    And 1.0 s pass
    Then 1 minion is reserved
    When the reserved minion <event>
    And 0.2 s pass
    Then a minion is reserved, but not the same one
    When 14.0 s pass
    Then job "large" has waited less than 12.0 s

    Examples:
      | event               |
      | falls silent        |
      | drains              |
      | is no longer listed |
      | shrinks             |
      | turns slow          |

  Scenario Outline: a steady stream keeps a large task from starting for ever
    Given 8 minions of 8 processors with look-ahead on
    And <first>
    And <second>
    And 3.0 s have passed
    When job "large" of 1 task of 8 processors for 2.0 s of low priority is submitted
    And 22.0 s pass
    Then job "large" has waited less than 20.0 s

    Examples:
      | first                                                         | second                                                      |
      | a stream "small" of 8 waiting tasks of 1 processors for 1.3 s | a stream "brief" of 1 waiting tasks of 1 processors for 0.3 s |
      | a stream "big" of 8 waiting tasks of 5 processors for 1.3 s   | a stream "huge" of 2 waiting tasks of 8 processors for 0.9 s  |
      | a stream "small" of 8 waiting tasks of 1 processors for 1.3 s | a stream "big" of 8 waiting tasks of 5 processors for 1.3 s   |

  Scenario Outline: a reservation keeps out tasks that would not delay it
    Given 1 minions of 8 processors with look-ahead on
    And job "running" of 1 task of 6 processors for 12.0 s
    And 0.5 s have passed
    And job "large" of 1 task of <cpu> processors for 2.0 s
    And 9.0 s have passed
    When job "small" of 1 task of 2 processors for <seconds> s <estimate> is submitted
    And 6.0 s pass
    Then job "large" has waited less than 12.5 s
    And job "small" has waited <bound> than 1.0 s

    Examples:
      | cpu | seconds | estimate           | bound |
      | 8   | 1.0     |                    | less  |
      | 8   | 6.0     |                    | more  |
      | 8   | 6.0     | estimated at 0.0 s | more  |
      | 6   | 6.0     |                    | less  |

  Scenario: a fleet on which no task waits is served in another way
    Given 8 minions of 8 processors with look-ahead on
    And a stream "small" of 3 waiting tasks of 1 processors for 1.3 s
    And a stream "large" of 1 waiting tasks of 5 processors for 0.5 s
    When 3.0 s pass
    Then 0 minions are reserved
    And the starts are those of the same load with look-ahead off

  Scenario: with the switch off, a task holds a reservation
    Given 8 minions of 8 processors with look-ahead off
    And a stream "small" of 8 waiting tasks of 1 processors for 1.3 s
    And 3.0 s have passed
    And job "large" of 1 task of 8 processors for 2.0 s
    When 1.0 s pass
    Then 0 minions are reserved

  Scenario: a new leader forgets that a large task waits
    Given 8 minions of 8 processors with look-ahead on
    And a stream "small" of 8 waiting tasks of 1 processors for 1.3 s
    And 3.0 s have passed
    When job "large" of 1 task of 8 processors for 2.0 s is submitted
    And 1.0 s pass
    And a new leader takes over
    And 1.0 s pass
    Then 1 minion is reserved
    When 14.0 s pass
    Then job "large" has waited less than 12.0 s

  Scenario: small tasks are kept out although durations can't be predicted, or wait is unbounded
    Given 8 minions of 8 processors with look-ahead on
    And a stream "small" of 8 waiting tasks of 1 processors for 0.5 s, or 4 times more or less
    And 3.0 s have passed
    When job "large" of 1 task of 8 processors for 2.0 s is submitted
    And 20.0 s pass
    Then it was logged that look-ahead is suspended
    And job "large" has waited more than 7.5 s
    And job "large" has waited less than 12.0 s

  Scenario: a lasting task whose run has failed waits behind the reservations of large tasks
    Given 1 minions of 8 processors with look-ahead on
    And job "serving" of 1 lasting task of 4 processors for 99 s
    And 1.0 s have passed
    And a stream "large" of 20 waiting tasks of 8 processors for 1.0 s
    And 12.0 s have passed
    When the run of job "serving" fails
    And 9.0 s pass
    Then job "serving" has started 2 times

  Scenario: a step of many large tasks keeps the first place until all of them have started
    Given 8 minions of 8 processors with look-ahead on
    And a stream "small" of 8 waiting tasks of 1 processors for 1.3 s
    And 3.0 s have passed
    And job "many" of 40 tasks of 8 processors for 1.0 s
    And 2.0 s have passed
    And job "late" of 1 task of 8 processors for 1.0 s
    When 24.0 s pass
    Then job "late" has waited less than 22.0 s

  Scenario: tasks that rank before a reserved one use up all starts of each round
    Given 8 minions of 8 processors with look-ahead on
    And at most 4 starts are planned in a round
    And a stream "small" of 8 waiting tasks of 1 processors for 1.3 s
    And 3.0 s have passed
    When job "large" of 1 task of 8 processors for 2.0 s of low priority is submitted
    And 14.0 s pass
    Then job "large" has waited less than 12.0 s

  Scenario: other large tasks take the room that a gang gathers
    Given 16 minions of 8 processors with look-ahead on
    And a stream "big" of 16 waiting tasks of 3 processors for 1.3 s
    And 3.0 s have passed
    When job "wide" of 2 gang tasks of 8 processors for 2.0 s is submitted
    And 10.0 s pass
    Then job "wide" has waited less than 7.0 s

  Scenario: a task is not backfilled because one of its size that takes longer was kept out
    Given 1 minions of 8 processors with look-ahead on
    And job "running" of 1 task of 6 processors for 14.0 s
    And 0.5 s have passed
    And job "large" of 1 task of 8 processors for 2.0 s
    And 9.0 s have passed
    And job "long" of 1 task of 2 processors for 20.0 s
    And 0.5 s have passed
    When job "small" of 1 task of 2 processors for 1.0 s is submitted
    And 2.0 s pass
    Then job "small" has waited less than 1.0 s
    And job "long" has waited more than 9.0 s

  Scenario: a task that was kept out does not start although the reservation has ended
    Given 1 minions of 8 processors with look-ahead on
    And job "running" of 1 task of 6 processors for 16.0 s
    And 0.5 s have passed
    And job "large" of 1 task of 8 processors for 2.0 s
    And 9.0 s have passed
    And job "small" of 1 task of 2 processors for 25.0 s
    And 1.0 s have passed
    When job "large" is cancelled
    And 1.0 s pass
    Then job "small" has waited less than 2.0 s
    And job "small" has waited more than 0.9 s

  Scenario Outline: a round fails while a suspected task starts alone on the only minion left
    Given 2 minions of 8 processors with look-ahead on
    And <seconds> s have passed
    And job "suspect" of 1 task of 1 processors for 9.0 s
    And 0.1 s have passed
    When the minion of job "suspect" falls silent
    And 9.0 s pass
    Then job "suspect" has started 2 times

    Examples:
      | seconds |
      | 0.5     |
      | 0.6     |
      | 0.7     |
