Feature: Bound within which accepted tasks start

  Scenario Outline: a <kind> that counts as assigned to a minion that is gone waits and the log does not say so
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 <kind> of 2 processors that runs
    When the minion of job "a" vanishes and a new leader takes over
    And 5.0 seconds pass
    Then a wait of job "a" is logged with "kind <word>, tasks 1, queued 0, assigned 1, assigned_unlisted 1, minions 3, fits 3"
    And 1 <word> tasks are counted as overdue, for 3.0 to 5.0 seconds

    Examples:
      | kind   | word   |
      | task   | short  |
      | filler | filler |

  Scenario: a task assigned to a minion that is gone and whose lease nobody follows waits as if until the end of a lease
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 task of 2 processors that runs
    When the minion of job "a" vanishes and a new leader takes over
    And the books lose the ends of the leases of unlisted minions
    And 10.0 seconds pass
    Then a wait of job "a" is logged with "queued 0, assigned 1, assigned_untracked 1"

  Scenario: a task whose run is missing on a listed minion waits and the log does not say so
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 task of 2 processors that runs
    When the books lose the run of job "a" but not its assignment
    And 5.0 seconds pass
    Then a wait of job "a" is logged with "queued 0, assigned 1, assigned_detached 1"

  Scenario: a task that is missing in the queue waits and the log does not say so
    Given a fleet with 4 minions of 16 processors
    And job "a" of 3 tasks of 2 processors that waits
    When the queue loses job "a"
    And 5.0 seconds pass
    Then a wait of job "a" is logged with "kind short, tasks 3, queued 0, assigned 0, fits 4, cpu 2000, memory_mb 100, gpu 0"

  Scenario: a task whose start orders are all refused waits and the log counts each refused order as a start
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 task of 2 processors that waits
    When 8.0 seconds pass in which minions refuse every start
    Then a wait of job "a" is logged

  Scenario: a lasting task that counts as assigned without a run waits and no line tells it
    Given a fleet with 4 minions of 16 processors
    And job "l" of 2 lasting tasks of 2 processors that runs
    When the books lose the run of job "l" but not its assignment
    And 12.0 seconds pass
    Then a wait of job "l" is logged with "kind lasting, tasks 1, queued 0, assigned 1, assigned_detached 1"
    And 1 lasting tasks are counted as overdue, for 9.0 to 12.0 seconds

  Scenario: a lasting task that has run is logged before its bound is over
    Given a fleet with 4 minions of 16 processors
    And job "l" of 2 lasting tasks of 2 processors that runs
    When the books lose the run of job "l" but not its assignment
    And 8.5 seconds pass
    Then no wait is logged
    And no task is counted as overdue

  Scenario: a queued lasting task is logged twice
    Given a fleet with 4 minions of 16 processors
    And job "l" of 1 lasting task of 2 processors that waits
    When 6.0 seconds pass in which no start is allowed
    Then no wait is logged beside "lasting task waits"
    And 1 lasting tasks are counted as overdue, for 3.0 to 6.0 seconds

  Scenario: a leader that may send no more starts keeps a task waiting and the log blames the minions
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 task of 2 processors that waits
    When 5.0 seconds pass in which no start is allowed
    Then a wait of job "a" is logged with "queued 1, assigned 0, start_limit 4"

  Scenario: a tenant at its limit keeps a task waiting and the log blames the minions
    Given a fleet with 4 minions of 16 processors
    And tenant "t" with a limit of 1 processor
    And job "a" of 1 task of 2 processors of tenant "t" that waits
    When 5.0 seconds pass
    Then a wait of job "a" is logged with "tenant_limit 4"

  Scenario: a minion that is excluded, too small or claimed counts as one on which the task fits
    Given a fleet with 4 minions of 16 processors
    And minion "m1" drains
    And minion "small" of 1 processor
    And lasting tasks have claimed 15 processors of minion "m2"
    And a filler of another job has claimed minion "m3" from short tasks
    And job "a" of 1 task of 2 processors that waits
    When 5.0 seconds pass in which no start is allowed
    Then a wait of job "a" is logged with "draining 1, no_cpu 1, claimed_by_lasting 1, claimed_by_filler 1, start_limit 1"

  Scenario: a filler that takes too much headroom waits and the log tells that it fits
    Given a fleet with 4 minions of 16 processors
    And serving tasks without headroom on minion "m1"
    And job "a" of 1 filler of 8 processors that waits
    When 5.0 seconds pass in which no start is allowed
    Then a wait of job "a" is logged with "no_headroom 1, start_limit 3"

  Scenario: a task beside a suspect on an isolated minion waits and the log tells that it fits
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 task of 2 processors that waits
    And minion "m1" is isolated for a suspected task
    When 5.0 seconds pass in which no start is allowed
    Then a wait of job "a" is logged with "isolated 1, start_limit 3"

  Scenario: a suspected task waits to run alone and the log tells that it fits
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 task of 2 processors that waits
    And job "a" is suspected of crashing minions
    When 5.0 seconds pass in which no start is allowed
    Then a wait of job "a" is logged with "suspected 4"

  Scenario: a task is kept off a minion that is reserved for a large task and the log tells that it fits
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 task of 2 processors that waits
    And minion "m1" is reserved for a large task
    When 5.0 seconds pass in which no start is allowed
    Then a wait of job "a" is logged with "reserved 1, start_limit 3"

  Scenario Outline: a filler that needs more processors than are unreserved is not logged, though it needs none
    Given a fleet with 4 minions of 16 processors
    And a lasting task of 7 processors on each minion
    And job "a" of 1 filler of <cpu> processors that waits
    When 5.0 seconds pass in which no start is allowed
    Then a wait of job "a" is logged with "<reasons>"

    Examples:
      | cpu | reasons       |
      | 14  | start_limit 4 |
      | 17  | no_idle_cpu 4 |

  Scenario: a run that no minion has confirmed to a new leader counts as running
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 task of 2 processors that runs
    When the minion of job "a" dies unnoticed and a new leader takes over
    And 5.0 seconds pass
    Then a wait of job "a" is logged with "queued 0, assigned 1, assigned_present 1, silent 1, fits 3"

  Scenario: a step that depends on one that waits is logged as well
    Given a fleet with 4 minions of 16 processors
    And job "a" of two steps of which one depends on the other
    When 5.0 seconds pass in which no start is allowed
    Then a wait of job "a" is logged with "step 0"
    And 1 waits are logged

  Scenario: a wait is logged in each round
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 task of 2 processors that waits
    When 12.0 seconds pass in which no start is allowed
    Then 3 waits are logged

  Scenario: steps that have waited long are logged again and again, and others never
    Given a fleet with 4 minions of 16 processors
    And 10 jobs that wait
    When 20.0 seconds pass in which no start is allowed
    Then waits of 10 jobs are logged, of each at least 4

  Scenario Outline: a task that need not start yet is logged as overdue: <reason>
    Given a fleet with 4 minions of 16 processors
    And job "a" waits because <reason>
    When 8.0 seconds pass in which no start is allowed
    Then no wait is logged
    And no task is counted as overdue

    Examples:
      | reason                              |
      | no minion has room                  |
      | only one task of its size fits      |
      | only one gang of its size fits      |
      | one minion only has the label       |
      | anti-affinity leaves one place      |
      | half of the processors are reserved |
      | its occurrence is not due           |
      | its queue needs advice              |
      | the step before it runs             |
      | another task of its job runs        |

  Scenario: a scheduled task that has just become due counts as waiting since it was accepted
    Given a fleet with 4 minions of 16 processors
    And job "a" of 1 task of 2 processors that is due after 6 seconds
    When 8.5 seconds pass in which no start is allowed
    Then no wait is logged
    When 2.0 seconds pass in which no start is allowed
    Then a wait of job "a" is logged

  Scenario: a task that waited in a busy service is logged as soon as the service is less busy
    Given a fleet with 4 minions of 16 processors
    And a minion of another service on which nothing runs
    And job "a" waits because half of the processors are reserved
    When 8.0 seconds pass in which no start is allowed
    And the tasks of job "busy" end
    And 2.9 seconds pass in which no start is allowed
    Then no wait is logged
    When 2.0 seconds pass in which no start is allowed
    Then a wait of job "a" is logged

  Scenario: a task that starts as soon as it finds room is logged as overdue
    Given a fleet with 1 minions of 16 processors
    And a lasting task of 7 processors on each minion
    And job "a" of 1 task of 10 processors that waits
    When a fleet like that lists a minion of 32 processors in each of the 15 rounds from second 5
    Then no wait is logged

  Scenario Outline: runs between two checks count as none, so a job that works is logged as overdue: <event>
    Given a fleet with 4 minions of 16 processors
    And job "a" of 40 tasks of 2 processors that waits
    When each second one task of job "a" runs for less than half a second, for 12 seconds, and <event>
    Then no wait is logged

    Examples:
      | event                         |
      | its end is reported           |
      | its start order has no answer |
      | its minion restarts           |

  Scenario: thousands of waiting tasks make the check of their bounds as long as a round
    Given a fleet with 4 minions of 16 processors
    And 3000 jobs that wait
    When 10.0 seconds pass in which no start is allowed
    Then at most 11 checks were made, each of 10 steps
    And at most 24 waits are logged
    And each of the 3000 jobs is checked after 320 more checks

  Scenario: a new leader waits for runs on minions that are not listed and the log does not tell how many
    Given a fleet with 4 minions of 16 processors
    And job "a" of 6 tasks of 10 processors that runs
    When the minion of job "a" vanishes and a new leader takes over
    Then the stored runs are logged with "jobs 1, attached 3, unlisted 1, incarnations 1, queued 2" and released within 5000 to 6500 ms
