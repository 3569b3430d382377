Feature: copies of runs that take too long

  Background:
    Given 20 minions of 4 processors on which tasks took 1 second

  @single-place
  Scenario: a straggler of a speculative step gets no copy, several, or one on its own minion
    Given job "a" of 1 speculative task
    When 1.0 seconds pass in rounds
    Then 1 starts were sent
    When 9.0 seconds pass in rounds
    Then 2 starts were sent
    And runs 1, 2 are on different minions
    And no stop was sent
    And a copy was logged

  Scenario Outline: the end of one of two runs ends, stops or restarts the wrong one
    Given job "a" of 1 speculative task with a copy
    When <event>
    And 1.0 seconds pass in rounds
    Then 2 starts were sent
    And the runs ordered to stop are "<stopped>"
    And job "a" is "<state>"

    Examples:
      | event                                         | stopped | state     |
      | run 1 ends as "done"                          | 2       | completed |
      | run 2 ends as "done"                          | 1       | completed |
      | runs 1 and 2 end as "done"                    | 2       | completed |
      | run 1 ends as "failed"                        |         | running   |
      | run 2 ends as "failed"                        |         | running   |
      | run 1 ends as "failed" and later run 2 "done" |         | completed |
      | run 2 ends as "failed" and later run 1 "done" |         | completed |
      | the minion of run 1 restarts                  |         | running   |
      | the minion of run 2 restarts                  |         | running   |
      | job "a" is cancelled                          | 1 2     | cancelled |

  Scenario Outline: a task whose copy is gone is not started again, or under an old run number
    Given job "a" of 1 speculative task with a copy
    When run <first> ends as "<first_kind>" and later run <second> "<second_kind>"
    And 1.0 seconds pass in rounds
    Then the newest start has run <run>
    And <count> starts were sent
    And job "a" is "<state>"

    Examples:
      | first | first_kind | second | second_kind | run | count | state   |
      | 1     | lapsed     | 2      | lapsed      | 3   | 3     | running |
      | 2     | lapsed     | 1      | lapsed      | 3   | 3     | running |
      | 2     | failed     | 1      | lapsed      | 3   | 3     | running |
      | 1     | failed     | 2      | failed      | 3   | 3     | running |

  @single-place
  Scenario Outline: a new leader stops one of two runs, starts a third, or lets one run on
    Given job "a" of 2 speculative tasks, the second one with a copy
    When a new leader takes over
    And 2.0 seconds pass in rounds
    Then 3 starts were sent
    And no stop was sent
    When run <ended> of the second task ends as "done"
    And 0.3 seconds pass in rounds
    And a new leader takes over
    And 1.0 seconds pass in rounds
    Then 3 starts were sent
    And the runs ordered to stop are "<stopped>"
    And job "a" is "running"

    Examples:
      | ended | stopped |
      | 1     | 2       |
      | 2     | 1       |

  @single-place
  Scenario: a new leader restarts a task while its copy may be present on an unlisted minion
    Given job "a" of 1 speculative task with a copy
    When the minions of runs 1 and 2 are no longer listed
    And a new leader takes over
    And 5.5 seconds pass in rounds
    Then 2 starts were sent
    When 1.5 seconds pass in rounds
    Then 3 starts were sent
    And the newest start has run 3

  Scenario: a task waits forever under a new leader because the minions of both its runs restarted
    Given job "a" of 1 speculative task with a copy
    When the minion of run 1 restarts
    And the minion of run 2 restarts
    And a new leader takes over
    And 0.5 seconds pass in rounds
    Then 3 starts were sent
    And the newest start has run 3

  @at-most-once
  Scenario: a planned copy starts although the first run has ended done while the plan was stored
    Given job "a" of 1 speculative task with a planned copy
    When run 1 ends as "done"
    And the minions report and the plan is stored
    And 1.0 seconds pass in rounds
    Then 1 starts were sent
    And job "a" is "completed"

  @at-most-once
  Scenario: a task starts again that a lost minion reports as done while the task waits for room
    Given job "a" of 2 tasks whose minion is cut off until its lease is over and others are full
    When the minion reports the first of them as done
    And all minions become free and 1.0 seconds pass in rounds
    Then the second of them was started, and not the first

  Scenario Outline: a copy starts that is useless or takes room from others
    Given <condition>
    And job "a" of <count> speculative tasks
    When 6.0 seconds pass in rounds
    Then <starts> starts were sent of job "a"

    Examples:
      | condition                              | count | starts | note                          |
      | nothing more                           | 1     | 2      |                               |
      | the copies are switched off            | 1     | 1      |                               |
      | few observations                       | 1     | 1      |                               |
      | only one attempt                       | 1     | 1      | one more failure ends the job |
      | a task of the same priority waits      | 1     | 1      |                               |
      | a task of a lower priority waits       | 1     | 2      |                               |
      | all other minions are slow             | 1     | 1      |                               |
      | nothing more                           | 3     | 3      | the whole step may be slow    |
      | nothing more                           | 20    | 20     | all runs are slow             |
      | one of ten runs took 4 to 7 seconds    | 1     | 1      | its end is near               |

  Scenario: copies of one step use more than the budget of 4 processors
    Given 30 other runs of the image that do not take too long
    And job "a" of 7 speculative tasks
    When 1.0 seconds pass in rounds
    And run 1 ends as "done"
    And 6.0 seconds pass in rounds
    Then 11 starts were sent of job "a"

  Scenario Outline: tasks of a slow step are copied or restarted, where they would be as slow
    Given job "a" of 3 <kind> tasks
    When 4.0 seconds pass in rounds
    And run 1 ends as "done"
    And 2.0 seconds pass in rounds
    Then no stop was sent
    And 3 starts were sent of job "a"

    Examples:
      | kind        |
      | speculative |
      | usual       |

  Scenario: records of earlier builds can't be read, or earlier builds don't find the first run
    Given job "a" of 1 speculative task with a copy
    Then an earlier build finds run 1 of the stored task on its minion
    And a record of an earlier build is restored without a copy

  Scenario Outline: a random history breaks the rules for runs of one task
    Given a random history of 40 seconds with seed <seed>
    Then copies were started and no rule was broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
