Feature: runs of tasks under lost answers, silent minions and leader changes

  Background:
    Given a fleet with minions "m1 m2" of 4 processors

  @at-most-once
  Scenario: a start order is sent before its plan is durable
    Given job "a" of 1 task of 1 processors
    When the minions report
    And the scheduler plans
    Then nothing was sent
    When the plan is stored
    Then 1 starts were sent

  @single-place
  Scenario: a task starts on a second minion although a start order without an answer is pending
    Given job "a" of 1 task of 1 processors
    When a round passes in which starts get no answer
    And 3 rounds pass
    Then 1 starts were sent in total
    And a stop of run 1 was sent
    When the stop is answered
    And 2 rounds pass
    Then 2 starts were sent in total

  @single-place
  Scenario: a run is stopped because the answer to its start order was lost
    Given job "a" of 1 task of 1 processors
    When a round passes in which starts are carried out without an answer
    And 3 rounds pass
    Then 1 starts were sent in total
    And no stop was sent

  @single-place
  Scenario: tasks of a silent minion start elsewhere before its lease has expired
    Given job "a" of 1 task of 1 processors
    When 1 rounds pass
    And the minion of job "a" falls silent
    And 6.0 seconds pass in rounds
    Then 1 starts were sent in total
    When 1.0 seconds pass in rounds
    Then 2 starts were sent in total

  Scenario: tasks of a restarted minion wait until the lease of its earlier incarnation expires
    Given job "a" of 1 task of 1 processors
    When 1 rounds pass
    And the minion of job "a" starts again under its id
    And 2 rounds pass
    Then 2 starts were sent in total

  Scenario: a minion is not used again after it has started again with its clock set back
    Given job "a" of 1 task of 1 processors
    When 1 rounds pass
    And the minion of job "a" starts again under its id after its clock was set back
    And 2 rounds pass
    Then 2 starts were sent in total
    And the scheduler knows the newest incarnation of each minion

  @resume-once
  Scenario: the end of a run is acknowledged before its effect is durable
    Given job "a" of 1 task of 1 processors
    When 1 rounds pass
    And the task of job "a" ends as "done"
    And the minions report
    Then no end is acknowledged
    When the scheduler plans
    And the plan is stored
    Then the end is acknowledged

  @own-answer
  Scenario: a job is shown as completed before its completion is durable
    Given job "a" of 1 task of 1 processors
    When 1 rounds pass
    And the task of job "a" ends as "done"
    And the minions report
    Then job "a" is shown as "running"
    When the scheduler plans
    And the plan is stored
    Then job "a" is shown as "completed"

  Scenario: a task starts although its job was cancelled while its plan was being stored
    Given job "a" of 1 task of 1 processors
    When the minions report
    And the scheduler plans
    And job "a" is cancelled
    And the plan is stored
    Then nothing was sent
    And job "a" is never started in 3 rounds

  Scenario: a cancellation that arrives before its submission is lost
    When job "a" is cancelled
    And job "a" of 1 task of 1 processors is submitted
    And 2 rounds pass
    Then 0 starts were sent in total

  @domain-out
  Scenario: a start goes to a failure domain that was evacuated while its plan was being stored
    Given job "a" of 1 task of 1 processors
    When the minions report
    And the scheduler plans
    And failure domain "caxias" is evacuated
    And the plan is stored
    Then nothing was sent

  @leaving
  Scenario: a draining minion gets new runs
    Given minion "m2" is draining
    And job "a" of 6 tasks of 1 processors
    When 2 rounds pass
    Then 4 starts were sent in total
    And none was sent to "m2"

  @capacity
  Scenario: resources reserved for a start order without an answer are given to another run
    Given job "a" of 4 tasks of 2 processors
    When a round passes in which starts get no answer
    And job "b" of 1 task of 1 processors is submitted
    And 1 rounds pass
    Then 4 starts were sent in total

  Scenario: a step starts before the step on which it depends is done
    Given job "a" of steps of 2 and 1 tasks
    When 1 rounds pass
    Then 2 starts were sent in total
    When one task of job "a" ends as "done"
    And 2 rounds pass
    Then 2 starts were sent in total
    When one task of job "a" ends as "done"
    And 2 rounds pass
    Then 3 starts were sent in total

  Scenario: a task runs again after it has used all its attempts
    Given job "a" of 1 task of 1 processors
    When 1 rounds pass
    And the task of job "a" ends as "failed"
    And 2 rounds pass
    And the task of job "a" ends as "failed"
    And 3 rounds pass
    Then 2 starts were sent in total
    And job "a" is shown as "failed"

  Scenario: a lasting task does not run again after it has used all its attempts
    Given job "a" of 1 lasting task of 1 processors
    When 1 rounds pass
    And the task of job "a" ends as "failed"
    And 2 rounds pass
    And the task of job "a" ends as "failed"
    And 2 rounds pass
    Then 3 starts were sent in total

  @resume-once
  Scenario: a task whose run ended early starts without its checkpoint
    Given job "a" of 1 task of 1 processors
    When 1 rounds pass
    And the task of job "a" ends as "lapsed" with checkpoint "c1"
    And 2 rounds pass
    Then the newest start carries checkpoint "c1"

  Scenario: more tasks of a step than its anti-affinity allows share a minion
    Given job "a" of 4 tasks of 1 processors, at most 1 on a minion
    When 2 rounds pass
    Then 2 starts were sent in total

  Scenario: a task starts on a minion without the required label
    Given job "a" of 1 task of 1 processors that requires label "gpu"
    When 2 rounds pass
    Then 0 starts were sent in total

  Scenario: some tasks of a gang start without the others
    Given job "a" of a gang of 5 tasks of 2 processors
    And job "b" of a gang of 4 tasks of 2 processors
    When 2 rounds pass
    Then 4 starts were sent in total
    And all starts were of job "b" with run 1

  Scenario: an occurrence starts before it is due
    Given job "a" of 1 task that runs 2 times, first after 5 seconds, every 5 seconds
    When 4.8 seconds pass in rounds
    Then 0 starts were sent in total
    When 0.5 seconds pass in rounds
    Then 1 starts were sent in total

  @single-place
  Scenario: a new leader starts a task that an earlier leader has already started
    Given job "a" of 1 task of 1 processors
    When 1 rounds pass
    And a new leader takes over
    And 3 rounds pass
    Then 1 starts were sent in total
    And no stop was sent

  # The records of the store come in the order of their keys, so that of a cancellation may be first.
  Scenario: a new leader starts the tasks of a job whose cancellation it has read before the job
    Given job "a" of 2 tasks of 1 processors
    When 1 rounds pass
    And a new leader takes over that reads the cancellation of job "a" first
    And 2.0 seconds pass in rounds
    Then job "a" is cancelled, none of its tasks waits and each run is ordered to stop
    And 2 starts were sent in total

  Scenario: a new leader waits for a stored run that its minion does not report
    Given job "a" of 1 task of 1 processors
    When a round passes in which starts get no answer
    And a new leader takes over
    And 3 rounds pass
    Then 2 starts were sent in total

  @single-place
  Scenario: a new leader restarts a task whose run may still be present on an unlisted minion
    Given job "a" of 1 task of 1 processors
    When 1 rounds pass
    And the minion of job "a" is no longer listed
    And a new leader takes over
    And 5.5 seconds pass in rounds
    Then 1 starts were sent in total
    When 1.5 seconds pass in rounds
    Then 2 starts were sent in total

  Scenario: a minion on which every run fails keeps getting runs
    Given job "a" of 8 tasks of 1 processors
    When 1 rounds pass
    And all tasks on "m1" end as "failed"
    And 2 rounds pass
    Then nothing new was sent to "m1"

  Scenario: a run without stored progress is not stopped
    When minion "m1" reports a run of an unknown job
    And 1 rounds pass
    Then a stop of run 1 was sent

  Scenario: a task of a gang starts again while other tasks of the gang still run
    Given job "b" of a gang of 4 tasks of 2 processors
    When 1 rounds pass
    And one task of job "b" ends as "failed"
    And 2 rounds pass
    Then 4 starts were sent in total
    When all tasks on "m1" end as "broken"
    And all tasks on "m2" end as "broken"
    And 2 rounds pass
    Then 4 starts were sent in total
    And all starts were of job "b" with run 2

  Scenario: lasting tasks occupy the processors that short tasks need at their peak
    Given job "a" of 4 tasks of 1 processors
    When 2 rounds pass
    And all tasks on "m1" end as "done"
    And all tasks on "m2" end as "done"
    And 1 rounds pass
    And job "l" of 8 lasting tasks of 2 processors is submitted
    And 3 rounds pass
    Then 2 starts were sent in total
    When job "b" of 4 tasks of 1 processors is submitted
    And 2 rounds pass
    Then 6 starts were sent in total

  Scenario: a lasting task waits without limit although two of its size fit
    Given job "a" of 8 tasks of 1 processors
    When 2 rounds pass
    And all tasks on "m1" end as "done"
    And all tasks on "m2" end as "done"
    And 1 rounds pass
    And job "l" of 4 lasting tasks of 2 processors is submitted
    And 1.0 seconds pass in rounds
    Then 2 starts were sent in total
    When 2.0 seconds pass in rounds
    Then 3 starts were sent in total
    When 3.0 seconds pass in rounds
    Then 4 starts were sent in total

  Scenario: a steady sequence of short tasks keeps a lasting task from ever starting
    Given job "a" of 4 tasks of 2 processors
    When 1 rounds pass
    And job "l" of 1 lasting task of 4 processors is submitted
    And short tasks of 2 processors end and new ones are submitted for 8 seconds
    Then job "l" has started

  Scenario: the reserve for a new lasting task keeps an older one of its image from starting
    Given job "a" of 2 tasks of 3 processors
    And job "b" of 2 tasks of 1 processors
    When 1 rounds pass
    And job "l" of 1 lasting task of 2 processors is submitted
    And 4.0 seconds pass in rounds
    And one task of job "a" ends as "done"
    And one task of job "a" ends as "done"
    And job "k" of 1 lasting task of 2 processors is submitted
    And 2 rounds pass
    Then job "l" has started
    And 5 starts were sent in total

  Scenario: the stored progress of a job grows by a full record for each done task
    Given job "a" of 80 tasks of 1 processors
    When 79 tasks of job "a" are done and one runs
    Then the stored progress of job "a" takes no more than 120 bytes
    And a new leader restores 79 tasks of job "a" as done and one as running

  Scenario: more starts are planned than the leader can send in time
    Given a fleet with minions "m1 m2" of 8 processors
    And job "a" of 10 tasks of 1 processors
    And job "b" of 4 tasks of 1 processors
    When the minions report
    And at most 6 starts are planned
    And the plan is stored
    Then 6 starts were sent
    When at most 100 starts are planned
    And the plan is stored
    Then 14 starts were sent in total

  Scenario: a limit of starts splits a gang, whose tasks wait for each other
    Given a fleet with minions "m1 m2" of 8 processors
    And job "b" of a gang of 5 tasks of 2 processors
    When the minions report
    And at most 2 starts are planned
    And the plan is stored
    Then 5 starts were sent

  Scenario: a lasting task waits for long and the log does not say why
    Given a fleet with minions "m1 m2 m3" of 4 processors
    And minion "m3" is draining
    And job "a" of 2 tasks of 4 processors
    When 1 rounds pass
    And job "l" of 3 lasting tasks of 3 processors is submitted
    And 3.9 seconds pass in rounds
    Then no wait is reported
    When 4.0 seconds pass in rounds
    Then 2 waits of job "l" are reported, of 3 tasks, with minions excluded as "draining 1, no_cpu 2"

  Scenario: a lasting task waits although a minion that was set aside after failures has room for two
    Given job "a" of 8 tasks of 1 processors
    When 1 rounds pass
    And job "k" of 1 lasting task of 2 processors is submitted
    And all tasks on "m1" end as "failed"
    And 3.0 seconds pass in rounds
    Then job "k" has started

  Scenario: a lasting task is started again and again without a pause on a minion that fails every run
    Given a fleet with minions "m1" of 8 processors
    And job "l" of 1 lasting task of 2 processors
    When every run fails as soon as it has started for 20 seconds
    Then between 10 and 30 starts were sent in total

  Scenario: a lasting task that fails every run keeps short tasks from the only minion for ever
    Given a fleet with minions "m1" of 8 processors
    And job "l" of 1 lasting task of 2 processors
    When every run of job "l" fails as soon as it has started for 6 seconds
    And job "a" of 1 task of 1 processors is submitted
    And every run of job "l" fails as soon as it has started for 20 seconds
    Then job "a" has started

  Scenario: failing lasting tasks keep short tasks from eight minions for ever
    Given a fleet with minions "m1 m2 m3 m4 m5 m6 m7 m8" of 8 processors
    And job "l" of 4 lasting tasks of 2 processors
    When every run of job "l" fails as soon as it has started for 6 seconds
    And job "a" of 1 task of 1 processors is submitted
    And every run of job "l" fails as soon as it has started for 20 seconds
    Then job "a" has started

  Scenario: as many failing lasting tasks as fit on all minions keep short tasks from starting
    Given a fleet with minions "m1 m2" of 8 processors
    And job "l" of 8 lasting tasks of 2 processors
    When every run of job "l" fails as soon as it has started for 6 seconds
    And job "a" of 1 task of 1 processors is submitted
    And every run of job "l" fails as soon as it has started for 5 seconds
    Then job "a" has started

  Scenario: lasting tasks are tried again and again on failing minions although another one works
    Given a fleet with minions "m1 m2 m3 m4" of 8 processors
    And job "l" of 4 lasting tasks of 2 processors
    When every run on "m1 m2 m3" fails as soon as it has started for 5 seconds
    Then job "l" runs on "m4" only

  Scenario: lasting tasks wait for their turn on a minion that was set aside, although one of them works
    Given a fleet with minions "m1" of 16 processors
    And job "a" of 16 tasks of 1 processors
    When 1 rounds pass
    And job "k" of 7 lasting tasks of 2 processors is submitted
    And all tasks on "m1" end as "failed"
    And the minions report
    And job "a" is cancelled
    And 3.0 seconds pass in rounds
    Then 7 starts of job "k" were sent

  # The platform allows a lasting task to be idle for 9 s while there is room for two of its size.
  Scenario: a lasting task leaves room to short tasks when its lost run has already used up the time for that
    Given job "l" of 1 lasting task of 3 processors
    When 1 rounds pass
    And job "a" of 5 tasks of 1 processors is submitted
    And 1 rounds pass
    And all tasks of job "a" end as "done"
    And 1 rounds pass
    And the minion of job "l" falls silent
    And 6.5 seconds pass in rounds
    Then 2 starts of job "l" were sent

  Scenario: starts of short tasks use up the start window, so that a lasting task never starts
    Given a fleet with minions "m1 m2" of 8 processors
    And job "l" of 1 lasting task of 2 processors on queue "long"
    When 2 short tasks are submitted and end each round, with at most 2 starts a round, for 15 seconds
    Then job "l" has started

  Scenario: a fresh lasting task takes the start window from short tasks of higher priority
    Given a fleet with minions "m1 m2" of 8 processors
    And job "l" of 1 lasting task of 2 processors on queue "long"
    When 2 short tasks are submitted and end each round, with at most 2 starts a round, for 4 seconds
    Then 0 starts of job "l" were sent

  Scenario: a fresh lasting task takes the start window from short tasks because another of its step waits
    Given a fleet with minions "m1" of 8 processors
    And job "l" of 2 lasting tasks of 5 processors on queue "long"
    When 6.0 seconds pass in rounds
    Then 1 starts of job "l" were sent
    When one task of job "l" ends as "failed"
    And the minions report
    And job "a" of 2 tasks of 1 processors is submitted
    And minion "m2" of 16 processors is listed
    And the minions report
    And at most 2 starts are planned
    And the plan is stored
    Then 2 starts of job "l" were sent

  Scenario: a lasting task of a later occurrence claims a minion long before it is due
    Given a fleet with minions "m1" of 4 processors
    And job "l" of 1 lasting task of 4 processors that runs 1 times, first after 20 seconds
    When 6.0 seconds pass in rounds
    And job "a" of 1 task of 1 processors is submitted
    And 10.0 seconds pass in rounds
    Then job "a" has started
    And no wait is reported
    When all tasks of job "a" end as "done"
    And 3.9 seconds pass in rounds
    Then 0 starts of job "l" were sent
    When 6.0 seconds pass in rounds
    Then job "l" has started

  Scenario: a lasting task of a queue that needs advice claims a minion that it never gets
    Given a fleet with minions "m1" of 4 processors
    And queue "advised" needs advice
    And job "l" of 1 lasting task of 4 processors on queue "advised"
    When 6.0 seconds pass in rounds
    And job "a" of 1 task of 1 processors is submitted
    And 10.0 seconds pass in rounds
    Then job "a" has started
    And no wait is reported

  Scenario: a lasting task that has run claims a minion although its queue needs advice by now
    Given a fleet with minions "m1" of 4 processors
    And job "l" of 1 lasting task of 4 processors on queue "long"
    When 2 rounds pass
    And queue "long" begins to need advice
    And the task of job "l" ends as "failed"
    And 6.0 seconds pass in rounds
    And job "a" of 1 task of 1 processors is submitted
    And 1 rounds pass
    Then job "a" has started
    And no wait is reported

  Scenario: the wait of a lasting task begins anew when its start order is refused
    Given job "a" of 8 tasks of 1 processors
    When 2 rounds pass
    And all tasks on "m1" end as "done"
    And all tasks on "m2" end as "done"
    And 1 rounds pass
    And job "l" of 1 lasting task of 4 processors is submitted
    And 2.5 seconds pass in rounds in which starts are refused
    And 1.0 seconds pass in rounds
    Then job "l" has started

  Scenario: a start is ordered at a minion that has just stopped answering
    Given job "a" of 1 task of 1 processors
    When the minions report
    And the scheduler plans
    And the minion of the planned run stops answering
    And the plan is stored
    Then nothing was sent
    When 2 rounds pass
    Then 1 starts were sent in total

  Scenario: the longest lease that a platform allows keeps the tasks of a lost minion waiting
    Given a fleet with minions "m1 m2" of 4 processors on a platform that allows leases of 10 seconds
    And job "l" of 1 lasting task of 1 processors
    When 1 rounds pass
    And the minion of job "l" falls silent
    And 7.0 seconds pass in rounds
    Then 2 starts of job "l" were sent

  Scenario Outline: a task that fits nowhere in its pool keeps the tasks of another pool from starting
    Given a fleet with minions "m1" of 4 processors
    And a minion "n1" of 8 processors in pool "other"
    And job "a" of 1 <kind> of 6 processors
    And job "b" of 1 <kind> of 6 processors on a queue of pool "other"
    When 1 rounds pass
    Then job "b" has started

    Examples:
      | kind         |
      | task         |
      | lasting task |
      | filler       |

  Scenario: a steady sequence of smaller fillers keeps a large filler from ever starting
    Given a fleet with minions "m1" of 8 processors
    And job "a" of 1 filler of 8 processors on queue "long" that waits behind fillers of 2 processors
    When fillers of 2 processors end and new ones are submitted for 5 seconds
    Then job "a" has started

  Scenario: the last job waits until long fillers end that use all processors
    Given a fleet with minions "m1" of 8 processors
    And job "a" of 1 filler of 8 processors on queue "long" that waits behind fillers of 2 processors
    When 10.0 seconds pass in rounds
    Then job "a" has started

  Scenario: a steady sequence of short tasks and smaller fillers keeps a large filler from ever starting
    Given a fleet with minions "m1" of 8 processors
    And job "a" of 1 filler of 8 processors on queue "long" that waits behind fillers of 2 processors
    When short tasks of 3 processors and fillers of 2 processors come all the time for 9 seconds
    Then job "a" has started

  Scenario: a slow leader starts all tasks of one job after the other, and the last jobs wait with room for them
    Given a fleet with minions "m1 m2 m3 m4" of 64 processors
    And 20 jobs of 20 tasks of 1 processor each on queue "long"
    When runs last 2.0 seconds and at most 2 starts are planned a round for 40 seconds
    Then no job had nothing running for more than 3.0 seconds from second 14

  Scenario: a leader with few starts gives one job all of them, and others have nothing running between their tasks
    Given a fleet with minions "m1 m2 m3 m4" of 64 processors
    And 20 jobs of 60 tasks of 1 processor each on queue "long"
    When runs last 2.0 seconds and at most 4 starts are planned a round, which arrive 9 rounds later, for 24 seconds
    Then no job had nothing running for more than 0.3 seconds from second 14
