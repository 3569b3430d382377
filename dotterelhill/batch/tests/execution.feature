Feature: Tasks run on one worker at a time, resume from their checkpoint, and start only where they may

  Background:
    Given worker "w1" with 8 processors in "kbh"
    And worker "w2" with 8 processors in "kbh"
    And processes "a" and "b" in "kbh", "a" is the scheduler
    And "a" holds "w1" and "b" holds "w2"

  Scenario: A finished task is reported once, and its worker deletes the record of its run
    When job "sync" with 3 tasks of 4 processors for 20 s is published
    And 40 s pass
    Then job "sync" has 3 tasks finished
    And no worker keeps a record of a run
    And every task ran in one place at a time and lost no work

  @domain-out @single-place
  Scenario Outline: A holder that is paused while it sends a start starts no task in a failure domain that is out
    Given each start is delayed by 0.5 s
    When job "sync" with 1 tasks of 4 processors for 20 s is published
    And the process that sends a start is paused before it is delivered
    And failure domain "kbh" is taken out
    And <pause> s pass
    And every process resumes
    And 30 s pass
    Then no task started after failure domain "kbh" was taken out

    Examples: paused within its lease, and past it
      | pause |
      | 6     |
      | 60    |

  @domain-out
  Scenario: A delayed start is refused in a failure domain that is taken out while the log is down
    Given each start is delayed by 8 s
    When job "sync" with 4 tasks of 2 processors for 20 s is published
    And 0.5 s pass
    And the log is down
    And failure domain "kbh" is taken out
    And 60 s pass
    Then no task started after failure domain "kbh" was taken out

  @domain-out
  Scenario: A holder that can't read the log starts no task once its evidence is outdated
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
  Scenario: A start whose answer arrives after the timeout does not run the task twice
    Given each answer to a start is 9 s late
    When job "sync" with 1 tasks of 4 processors for 30 s is published
    And 60 s pass
    Then task 0 of "sync" ran 1 times
    And job "sync" has 1 tasks finished

  @single-place
  Scenario: A start whose answer is lost runs the task exactly once
    Given the next 2 answers to a start are lost
    When job "sync" with 1 tasks of 4 processors for 30 s is published
    And 60 s pass
    Then task 0 of "sync" ran 1 times
    And job "sync" has 1 tasks finished

  @single-place
  Scenario: A start that is delivered twice runs the task once
    Given each start is delivered twice
    When job "sync" with 4 tasks of 4 processors for 30 s is published
    And 60 s pass
    Then task 0 of "sync" ran 1 times
    And job "sync" has 4 tasks finished

  @capacity @single-place
  Scenario: Two processes that are schedulers at the same time overcommit no worker
    Given "b" is a scheduler as well
    And each append takes 1 s
    When process "b" is paused
    And job "sync" with 20 tasks of 3 processors for 10 s is published
    And 0.5 s pass
    And urgent job "now" with 4 tasks of 3 processors for 10 s is published
    And every process resumes
    And 2 s pass
    And "a" is no longer a scheduler
    And 250 s pass
    Then job "sync" has 20 tasks finished
    And job "now" has 4 tasks finished
    And no worker ever ran more than 8 processors
    And every task ran in one place at a time and lost no work

  @single-place @resume-once
  Scenario: A task of a worker that becomes unreachable and returns does not run on two workers at once
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
  Scenario: A renewal that is delayed in the network does not extend a lease that its holder counts as expired
    Given messages to a worker that is cut off arrive 15 s late
    When job "sync" with 1 tasks of 4 processors for 120 s is published
    And 15 s pass
    And the worker of task 0 of "sync" is cut off
    And 200 s pass
    Then task 0 of "sync" ran 2 times
    And every task ran in one place at a time

  @resume-once
  Scenario: A task of a worker that returns before its tasks are declared lost loses no work
    When job "sync" with 1 tasks of 4 processors for 120 s is published
    And 15 s pass
    And the worker of task 0 of "sync" is cut off
    And 25 s pass
    And all workers are reachable
    And 200 s pass
    Then job "sync" has 1 tasks finished
    And every task ran in one place at a time and lost no work

  @resume-once
  Scenario: An urgent task starts within 7 s when every worker is full, after a single eviction
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
  Scenario: A stop whose answer is lost keeps the checkpoint, from which the task resumes once
    When job "sync" with 2 tasks of 8 processors for 60 s is published
    And 20 s pass
    And the next 3 answers to a stop are lost
    And urgent job "now" with 1 tasks of 8 processors for 5 s is published
    And 200 s pass
    Then job "now" has 1 tasks finished
    And job "sync" has 2 tasks finished
    And every task ran in one place at a time and lost no work

  @resume-once @single-place
  Scenario: Running tasks of a failure domain that is taken out resume in another one from their checkpoint
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
  Scenario: Tasks keep running when their worker's holder fails and another process takes over
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
  Scenario: A task moves only after the autonomy time if both its worker and the holder are unreachable
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

  Scenario: Tasks of a worker that operators attest as lost restart on another one without delay
    When job "sync" with 1 tasks of 8 processors for 30 s is published
    And 10 s pass
    And the worker of task 0 of "sync" is switched off and attested as lost
    And 5 s pass
    Then task 0 of "sync" ran 2 times

  Scenario: Running tasks keep running while the log is down
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

  Scenario: A worker on which every task fails is quarantined, and its tasks finish on another one
    Given worker "w1" fails everything it starts
    When 30 jobs with 2 tasks of 1 processors for 5 s are published
    And 150 s pass
    Then every published task is finished
    And worker "w1" started at most 20 tasks

  Scenario: Jobs that fail on every worker are failed, and no worker is quarantined for them
    Given worker "w3" with 8 processors in "kbh"
    And worker "w4" with 8 processors in "kbh"
    And process "a" holds "w3" and "w4"
    And every job fails on every worker
    When 3 jobs with 1 tasks of 1 processors for 5 s are published
    And 20 s pass
    Then every published task is failed
    And every published task ran on 3 workers
    And no worker is quarantined

  Scenario: A job that can never run is reported as infeasible and does not delay other jobs
    When job "huge" with 1 tasks of 64 processors for 5 s is published
    And job "sync" with 1 tasks of 4 processors for 5 s is published
    And 12 s pass
    Then job "huge" is reported as infeasible because of "64 processors"
    And job "sync" has 1 tasks finished

  @single-place
  Scenario: A worker that restarts does not run a task for its previous boot
    When job "sync" with 1 tasks of 4 processors for 60 s is published
    And 15 s pass
    And the worker of task 0 of "sync" restarts
    And 100 s pass
    Then job "sync" has 1 tasks finished
    And every task ran in one place at a time

  Scenario: With a slow log every task runs once and few records are appended again
    Given each append takes 5 s
    When job "sync" with 4 tasks of 2 processors for 10 s is published
    And 60 s pass
    Then job "sync" has 4 tasks finished
    And 4 runs were started
    And the log holds at most 12 records of tasks

  @resume-once
  Scenario: Records that are appended again after a lost answer have no second effect
    Given the next 30 answers to an append are lost
    When job "sync" with 4 tasks of 4 processors for 10 s is published
    And 5 s pass
    And failure domain "kbh" is taken out
    And 20 s pass
    And failure domain "kbh" is put back in
    And 60 s pass
    Then job "sync" has 4 tasks finished
    And every task ran in one place at a time and lost no work

  Scenario: The lease of a worker that disappears from the VM list is still renewed
    When job "sync" with 2 tasks of 8 processors for 60 s is published
    And 15 s pass
    And the VM list names no worker
    And 60 s pass
    Then job "sync" has 2 tasks finished
    And task 0 of "sync" ran 1 times

  Scenario: A holder in another failure domain renews a worker's lease with the worker's own domain
    Given process "c" in "aarhus" holds "w1"
    When job "sync" with 2 tasks of 8 processors for 20 s is published
    And 40 s pass
    Then job "sync" has 2 tasks finished

  Scenario: A process adopts loads and effects that only a peer has measured
    Given service "desk" with load 0.8 on "w2" is slowed to 1.5 by "sync"
    When job "sync" with 2 tasks of 8 processors for 100 s is published
    And 90 s pass
    And "b" sends its usage summary to "a"
    Then "a" plans with load 0.8 of "desk" on "w2" and an effect of "sync" on it
    When "a" gets an unreadable usage summary
    Then "a" plans with load 0.8 of "desk" on "w2" and an effect of "sync" on it
