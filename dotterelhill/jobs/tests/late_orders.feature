Feature: orders that minions carry out late, and answers that come late or never

  @capacity
  Scenario: the room of a start that may still be carried out is given to others, since its job ended before its answer was lost
    # Guards against LIMIT: the time-out of the start counted as the answer to the stop that was sent before it.
    Given a fleet with minions "m1" of 4 processors
    And job "a" of 1 task of 4 processors
    When the minions report
    And the scheduler plans
    And the plan is stored, and its starts are on their way
    And job "a" is cancelled
    And the start of job "a" gets no answer
    And job "b" of 1 task of 4 processors is submitted
    And 5 rounds pass
    Then 1 starts were sent in total
    When the stop is answered
    And 2 rounds pass
    Then 2 starts were sent in total

  Scenario: the room of a start that was carried out and stopped stays reserved
    Given a fleet with minions "m1" of 4 processors
    And job "a" of 1 task of 4 processors
    When the minions report
    And the scheduler plans
    And the plan is stored, and its starts are on their way
    And job "a" is cancelled
    And the start of job "a" is answered after it was stopped
    And job "b" of 1 task of 4 processors is submitted
    And 2 rounds pass
    Then 2 starts were sent in total

  @capacity @single-place
  Scenario Outline: a start exceeds the room of a minion, or a task runs twice, in some history of late orders
    # Guards against LIMIT in any order of orders and answers with delays of up to 12 s.
    When histories of late orders <seeds> are played, each with a calm at its end
    Then no start went beyond the room of its minion, and no task ran twice
    And no room was held in vain at the end of a calm
    And at least <late> starts were carried out late

    Examples:
      | seeds                                   | late |
      | 172 194 284 287 302 413 523 617 662 927 | 20   |
      | 0 1 2 3 4 5 6 7 8 9                     | 20   |
