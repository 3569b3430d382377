Feature: Tasks run in one place, resume once, and nothing starts where it may not

  Background:
    Given worker "w1" with 8 processors in "kbh"
    And worker "w2" with 8 processors in "kbh"
    And processes "a" and "b" in "kbh", "a" is the scheduler
    And "a" holds "w1" and "b" holds "w2"

  Scenario: A task that finishes is reported once and forgotten by its worker
    When job "sync" with 3 tasks of 4 processors for 20 s is published
    And 40 s pass
    Then job "sync" has 3 tasks finished
    And no worker keeps a run
    And every task ran in one place at a time and lost no work

  @domain-out @single-place
  Scenario Outline: A holder that wakes in the middle of a start starts nothing in a domain that is out
    Given each start is delayed by 0.5 s
    When job "sync" with 1 tasks of 4 processors for 20 s is published
    And the process that sends a start is paused before it is delivered
    And failure domain "kbh" is taken out
    And <pause> s pass
    And every process wakes
    And 30 s pass
    Then no task started after failure domain "kbh" was taken out

    Examples: paused within its lease, and past it
      | pause |
      | 6     |
      | 60    |

  @domain-out
  Scenario: A delayed start is refused in a domain that can't learn that it was taken out
    Given each start is delayed by 8 s
    When job "sync" with 4 tasks of 2 processors for 20 s is published
    And 0.5 s pass
    And the log is down
    And failure domain "kbh" is taken out
    And 60 s pass
    Then no task started after failure domain "kbh" was taken out

  @domain-out
  Scenario: A holder that can't read the log starts nothing once its evidence is old
    When the log is read but no task can be sent
    And job "sync" with 1 tasks of 4 processors for 20 s is published
    And 1 s pass
    And the log is down
    And 4 s pass
    And failure domain "kbh" is taken out
    And all workers are reachable
    And 60 s pass
    Then no task started after failure domain "kbh" was taken out

  @single-place
  Scenario: A start that is acknowledged late does not run the task twice
    Given each answer to a start is 9 s late
    When job "sync" with 1 tasks of 4 processors for 30 s is published
    And 60 s pass
    Then task 0 of "sync" ran 1 times
    And job "sync" has 1 tasks finished

  @single-place
  Scenario: A start whose answer is lost is neither forgotten nor run twice
    Given the next 2 answers to a start are lost
    When job "sync" with 1 tasks of 4 processors for 30 s is published
    And 60 s pass
    Then task 0 of "sync" ran 1 times
    And job "sync" has 1 tasks finished

  @single-place
  Scenario: A start that is delivered twice runs once
    Given each start is delivered twice
    When job "sync" with 4 tasks of 4 processors for 30 s is published
    And 60 s pass
    Then task 0 of "sync" ran 1 times
    And job "sync" has 4 tasks finished

  @capacity @single-place
  Scenario: Two processes that both believe to be the scheduler overcommit no worker
    Given "b" is a scheduler too
    And each append takes 1 s
    When process "b" is paused
    And job "sync" with 20 tasks of 3 processors for 10 s is published
    And 0.5 s pass
    And urgent job "now" with 4 tasks of 3 processors for 10 s is published
    And every process wakes
    And 2 s pass
    And "a" is no scheduler any more
    And 250 s pass
    Then job "sync" has 20 tasks finished
    And job "now" has 4 tasks finished
    And no worker ever ran more than 8 processors
    And every task ran in one place at a time and lost no work

  @single-place @resume-once
  Scenario: A worker that is cut off with a running task does not let it run in two places
    When job "sync" with 1 tasks of 4 processors for 120 s is published
    And 15 s pass
    And the worker of task 0 of "sync" is cut off
    And 70 s pass
    And all workers are reachable
    And 200 s pass
    Then task 0 of "sync" ran 2 times
    And every task ran in one place at a time
    And job "sync" has 1 tasks finished

  @single-place
  Scenario: A renewal that is delayed in the network does not extend a lease that was counted as over
    Given messages to a worker that is cut off arrive 15 s late
    When job "sync" with 1 tasks of 4 processors for 120 s is published
    And 15 s pass
    And the worker of task 0 of "sync" is cut off
    And 200 s pass
    Then task 0 of "sync" ran 2 times
    And every task ran in one place at a time

  @resume-once
  Scenario: A worker that returns before it was given up keeps the checkpoint of its task
    When job "sync" with 1 tasks of 4 processors for 120 s is published
    And 15 s pass
    And the worker of task 0 of "sync" is cut off
    And 25 s pass
    And all workers are reachable
    And 200 s pass
    Then job "sync" has 1 tasks finished
    And every task ran in one place at a time and lost no work

  @resume-once
  Scenario: An urgent task starts within 7 s when every worker is full, and costs one eviction
    When job "sync" with 2 tasks of 8 processors for 60 s is published
    And 20 s pass
    And urgent job "now" with 1 tasks of 8 processors for 5 s is published
    And 7 s pass
    Then task 0 of "now" ran 1 times
    When 150 s pass
    Then job "sync" has 2 tasks finished
    And 4 runs were started
    And every task ran in one place at a time and lost no work

  @resume-once
  Scenario: A stop whose answer is lost keeps its checkpoint and is used once
    When job "sync" with 2 tasks of 8 processors for 60 s is published
    And 20 s pass
    And the next 3 answers to a stop are lost
    And urgent job "now" with 1 tasks of 8 processors for 5 s is published
    And 200 s pass
    Then job "now" has 1 tasks finished
    And job "sync" has 2 tasks finished
    And every task ran in one place at a time and lost no work

  @resume-once @single-place
  Scenario: Running tasks of a failure domain that is taken out resume elsewhere from their checkpoint
    Given worker "w3" with 8 processors in "aarhus"
    And process "c" in "aarhus" holds "w3"
    When job "sync" with 2 tasks of 4 processors for 60 s is published
    And 20 s pass
    And failure domain "kbh" is taken out
    And 100 s pass
    Then job "sync" has 2 tasks finished
    And task 0 of "sync" ran 2 times
    And task 1 of "sync" ran 2 times
    And every task ran in one place at a time and lost no work

  @single-place
  Scenario: The tasks of a dead holder go on under the next holder
    When job "sync" with 2 tasks of 8 processors for 60 s is published
    And 15 s pass
    And process "b" is paused
    And 5 s pass
    And "a" holds "w2"
    And 70 s pass
    Then task 0 of "sync" ran 1 times
    And task 1 of "sync" ran 1 times
    And job "sync" has 2 tasks finished

  @single-place
  Scenario: A task of a silent holder and worker moves only after the autonomy time
    Given the autonomy time is 60 s
    When job "sync" with 1 tasks of 8 processors for 500 s is published
    And 15 s pass
    And the worker of task 0 of "sync" and its holder are cut off together
    And the other process holds that worker
    And 75 s pass
    Then task 0 of "sync" ran 1 times
    When 40 s pass
    Then task 0 of "sync" ran 2 times
    And every task ran in one place at a time

  Scenario: Tasks of a worker that operators attest as lost run elsewhere at once
    When job "sync" with 1 tasks of 8 processors for 30 s is published
    And 10 s pass
    And the worker of task 0 of "sync" is switched off and attested as lost
    And 5 s pass
    Then task 0 of "sync" ran 2 times

  Scenario: Running tasks go on while the log is down
    When job "sync" with 2 tasks of 8 processors for 300 s is published
    And 15 s pass
    And the log is down
    And 310 s pass
    And the log is back
    And 20 s pass
    Then job "sync" has 2 tasks finished
    And task 0 of "sync" ran 1 times

  Scenario: A cancelled task stops and never runs again
    When job "sync" with 4 tasks of 4 processors for 300 s is published
    And 15 s pass
    And job "sync" is cancelled
    And 10 s pass
    Then no worker runs a task
    And job "sync" has 4 tasks cancelled
    When 60 s pass
    Then task 0 of "sync" ran 1 times

  Scenario: A burst of cancellations does not delay an urgent start
    Given each stop is delayed by 2 s
    When job "wave" with 1000 tasks of 0.014 processors for 900 s is published
    And 40 s pass
    And job "wave" is cancelled
    And urgent job "now" with 1 tasks of 1 processors for 5 s is published
    And 1.5 s pass
    Then task 0 of "now" ran 1 times
    When 200 s pass
    Then job "wave" has 1000 tasks cancelled

  Scenario: A worker that fails everything is set aside and loses no task
    Given worker "w1" fails everything it starts
    When 30 jobs with 2 tasks of 1 processors for 5 s are published
    And 150 s pass
    Then every published task is finished
    And worker "w1" started at most 20 tasks

  Scenario: Jobs that fail everywhere are failed and their workers stay in use
    Given worker "w3" with 8 processors in "kbh"
    And worker "w4" with 8 processors in "kbh"
    And process "a" holds "w3" and "w4"
    And every job fails on every worker
    When 3 jobs with 1 tasks of 1 processors for 5 s are published
    And 20 s pass
    Then every published task is failed
    And every published task ran on 3 workers
    And no worker is set aside

  Scenario: A job that can never run is reported at once and holds nobody up
    When job "huge" with 1 tasks of 64 processors for 5 s is published
    And job "sync" with 1 tasks of 4 processors for 5 s is published
    And 12 s pass
    Then job "huge" is reported as infeasible because of "64 processors"
    And job "sync" has 1 tasks finished

  @single-place
  Scenario: A worker that restarts does not run a task under its old boot
    When job "sync" with 1 tasks of 4 processors for 60 s is published
    And 15 s pass
    And the worker of task 0 of "sync" restarts
    And 100 s pass
    Then job "sync" has 1 tasks finished
    And every task ran in one place at a time

  Scenario: A slow log delays tasks but runs none twice and gets few repeated records
    Given each append takes 5 s
    When job "sync" with 4 tasks of 2 processors for 10 s is published
    And 60 s pass
    Then job "sync" has 4 tasks finished
    And 4 runs were started
    And the log holds at most 12 records of tasks

  @resume-once
  Scenario: Records whose acknowledgement is lost are repeated without effect
    Given the next 30 answers to an append are lost
    When job "sync" with 4 tasks of 4 processors for 10 s is published
    And 5 s pass
    And failure domain "kbh" is taken out
    And 20 s pass
    And failure domain "kbh" is put back in
    And 60 s pass
    Then job "sync" has 4 tasks finished
    And every task ran in one place at a time and lost no work

  Scenario: A VM list that drops a worker does not end its lease
    When job "sync" with 2 tasks of 8 processors for 60 s is published
    And 15 s pass
    And the VM list names no worker
    And 60 s pass
    Then job "sync" has 2 tasks finished
    And task 0 of "sync" ran 1 times

  Scenario: A holder of another failure domain renews a worker under the worker's own domain
    Given process "c" in "aarhus" holds "w1"
    When job "sync" with 2 tasks of 8 processors for 20 s is published
    And 40 s pass
    Then job "sync" has 2 tasks finished

  Scenario: A process learns the loads and effects that only its peer has measured
    Given service "desk" with load 0.8 on "w2" is slowed to 1.5 by "sync"
    When job "sync" with 2 tasks of 8 processors for 100 s is published
    And 90 s pass
    And "b" tells "a" its usage
    Then "a" knows load 0.8 of "desk" on "w2" and that "sync" slows it
    When "a" is told an unreadable usage summary
    Then "a" knows load 0.8 of "desk" on "w2" and that "sync" slows it
