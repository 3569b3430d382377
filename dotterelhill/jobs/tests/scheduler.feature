Feature: runs of tasks, under lost answers, silent minions and changes of leader

  Background:
    Given a fleet with minions "m1 m2" of 4 processors

  @at-most-once
  Scenario: a start is sent before its plan is durable
    Given job "a" of 1 task of 1 processors
    When the minions report
    And the scheduler plans
    Then nothing was sent
    When the plan is stored
    Then 1 starts were sent

  @single-place
  Scenario: a start without an answer is followed by a second run elsewhere
    Given job "a" of 1 task of 1 processors
    When a turn passes in which starts get no answer
    And 3 turns pass
    Then 1 starts were sent in all
    And a stop of run 1 was sent
    When the stop is answered
    And 2 turns pass
    Then 2 starts were sent in all

  @single-place
  Scenario: a start that was carried out without an answer is given up
    Given job "a" of 1 task of 1 processors
    When a turn passes in which starts are carried out without an answer
    And 3 turns pass
    Then 1 starts were sent in all
    And no stop was sent

  @single-place
  Scenario: the tasks of a silent minion run twice before its lease has ended
    Given job "a" of 1 task of 1 processors
    When 1 turns pass
    And the minion of job "a" falls silent
    And 6.0 seconds pass in turns
    Then 1 starts were sent in all
    When 1.0 seconds pass in turns
    Then 2 starts were sent in all

  Scenario: the tasks of a minion that started again wait for its lease
    Given job "a" of 1 task of 1 processors
    When 1 turns pass
    And the minion of job "a" starts again under its id
    And 2 turns pass
    Then 2 starts were sent in all

  @resume-once
  Scenario: an end is acknowledged before its effect is durable
    Given job "a" of 1 task of 1 processors
    When 1 turns pass
    And the task of job "a" ends as "done"
    And the minions report
    Then no end is acknowledged
    When the scheduler plans
    And the plan is stored
    Then the end is acknowledged

  @own-answer
  Scenario: a job is shown as completed before that is durable
    Given job "a" of 1 task of 1 processors
    When 1 turns pass
    And the task of job "a" ends as "done"
    And the minions report
    Then job "a" is shown as "running"
    When the scheduler plans
    And the plan is stored
    Then job "a" is shown as "completed"

  Scenario: a task starts after its job was cancelled between plan and write
    Given job "a" of 1 task of 1 processors
    When the minions report
    And the scheduler plans
    And job "a" is cancelled
    And the plan is stored
    Then nothing was sent
    And job "a" is never started in 3 turns

  Scenario: a cancellation that overtakes its submission is forgotten
    When job "a" is cancelled
    And job "a" of 1 task of 1 processors is submitted
    And 2 turns pass
    Then 0 starts were sent in all

  @domain-out
  Scenario: a start that is being stored goes to a failure domain that was taken out meanwhile
    Given job "a" of 1 task of 1 processors
    When the minions report
    And the scheduler plans
    And failure domain "caxias" is taken out
    And the plan is stored
    Then nothing was sent

  @leaving
  Scenario: a minion that is leaving gets new work
    Given minion "m2" is draining
    And job "a" of 6 tasks of 1 processors
    When 2 turns pass
    Then 4 starts were sent in all
    And none was sent to "m2"

  @capacity
  Scenario: a start without an answer frees its room
    Given job "a" of 4 tasks of 2 processors
    When a turn passes in which starts get no answer
    And job "b" of 1 task of 1 processors is submitted
    And 1 turns pass
    Then 4 starts were sent in all

  Scenario: a step starts before the tasks that it waits for are done
    Given job "a" of steps of 2 and 1 tasks
    When 1 turns pass
    Then 2 starts were sent in all
    When one task of job "a" ends as "done"
    And 2 turns pass
    Then 2 starts were sent in all
    When one task of job "a" ends as "done"
    And 2 turns pass
    Then 3 starts were sent in all

  Scenario: a task runs again after its attempts are spent
    Given job "a" of 1 task of 1 processors
    When 1 turns pass
    And the task of job "a" ends as "failed"
    And 2 turns pass
    And the task of job "a" ends as "failed"
    And 3 turns pass
    Then 2 starts were sent in all
    And job "a" is shown as "failed"

  Scenario: a lasting task is given up after its attempts
    Given job "a" of 1 lasting task of 1 processors
    When 1 turns pass
    And the task of job "a" ends as "failed"
    And 2 turns pass
    And the task of job "a" ends as "failed"
    And 2 turns pass
    Then 3 starts were sent in all

  @resume-once
  Scenario: a task that was stopped starts from its beginning
    Given job "a" of 1 task of 1 processors
    When 1 turns pass
    And the task of job "a" ends as "lapsed" with checkpoint "c1"
    And 2 turns pass
    Then the newest start carries checkpoint "c1"

  Scenario: more tasks of a step than allowed share a minion
    Given job "a" of 4 tasks of 1 processors, at most 1 on a minion
    When 2 turns pass
    Then 2 starts were sent in all

  Scenario: a task starts on a minion without the label that it needs
    Given job "a" of 1 task of 1 processors that needs label "gpu"
    When 2 turns pass
    Then 0 starts were sent in all

  Scenario: members of a gang start without the others
    Given job "a" of a gang of 5 tasks of 2 processors
    And job "b" of a gang of 4 tasks of 2 processors
    When 2 turns pass
    Then 4 starts were sent in all
    And all starts were of job "b" with run 1

  Scenario: an occurrence starts before its time
    Given job "a" of 1 task that runs 2 times, first after 5 seconds, every 5 seconds
    When 4.8 seconds pass in turns
    Then 0 starts were sent in all
    When 0.5 seconds pass in turns
    Then 1 starts were sent in all

  @single-place
  Scenario: a new leader starts what an earlier one has started
    Given job "a" of 1 task of 1 processors
    When 1 turns pass
    And a new leader takes over
    And 3 turns pass
    Then 1 starts were sent in all
    And no stop was sent

  Scenario: a new leader waits for a run that its minion does not have
    Given job "a" of 1 task of 1 processors
    When a turn passes in which starts get no answer
    And a new leader takes over
    And 3 turns pass
    Then 2 starts were sent in all

  @single-place
  Scenario: a new leader restarts what may run on a minion that is not listed
    Given job "a" of 1 task of 1 processors
    When 1 turns pass
    And the minion of job "a" is no longer listed
    And a new leader takes over
    And 5.5 seconds pass in turns
    Then 1 starts were sent in all
    When 1.5 seconds pass in turns
    Then 2 starts were sent in all

  Scenario: a minion that fails all it is given keeps getting tasks
    Given job "a" of 8 tasks of 1 processors
    When 1 turns pass
    And all tasks on "m1" end as "failed"
    And 2 turns pass
    Then nothing new was sent to "m1"

  Scenario: runs that no record names go on
    When minion "m1" reports a run of an unknown job
    And 1 turns pass
    Then a stop of run 1 was sent

  Scenario: members of a gang start again while another member still runs
    Given job "b" of a gang of 4 tasks of 2 processors
    When 1 turns pass
    And one task of job "b" ends as "failed"
    And 2 turns pass
    Then 4 starts were sent in all
    When all tasks on "m1" end as "broken"
    And all tasks on "m2" end as "broken"
    And 2 turns pass
    Then 4 starts were sent in all
    And all starts were of job "b" with run 2

  Scenario: lasting tasks take the room that short tasks need again and again
    Given job "a" of 4 tasks of 1 processors
    When 2 turns pass
    And all tasks on "m1" end as "done"
    And all tasks on "m2" end as "done"
    And 1 turns pass
    And job "l" of 8 lasting tasks of 2 processors is submitted
    And 3 turns pass
    Then 2 starts were sent in all
    When job "b" of 4 tasks of 1 processors is submitted
    And 2 turns pass
    Then 6 starts were sent in all

  Scenario: a lasting task waits for ever though there is room for two
    Given job "a" of 8 tasks of 1 processors
    When 2 turns pass
    And all tasks on "m1" end as "done"
    And all tasks on "m2" end as "done"
    And 1 turns pass
    And job "l" of 4 lasting tasks of 2 processors is submitted
    And 1.0 seconds pass in turns
    Then 2 starts were sent in all
    When 2.0 seconds pass in turns
    Then 3 starts were sent in all
    When 3.0 seconds pass in turns
    Then 4 starts were sent in all

  Scenario: short tasks that follow each other keep a lasting task out for ever
    Given job "a" of 4 tasks of 2 processors
    When 1 turns pass
    And job "l" of 1 lasting task of 4 processors is submitted
    And short tasks of 2 processors end and follow each other for 8 seconds
    Then job "l" has started

  Scenario: a lasting task that has just come keeps older ones of its image from starting
    Given job "a" of 2 tasks of 3 processors
    And job "b" of 2 tasks of 1 processors
    When 1 turns pass
    And job "l" of 1 lasting task of 2 processors is submitted
    And 4.0 seconds pass in turns
    And one task of job "a" ends as "done"
    And one task of job "a" ends as "done"
    And job "k" of 1 lasting task of 2 processors is submitted
    And 2 turns pass
    Then job "l" has started
    And 5 starts were sent in all

  Scenario: the stored progress of a job grows with each task that has ended
    Given job "a" of 80 tasks of 1 processors
    When 79 tasks of job "a" are done and one runs
    Then the stored progress of job "a" takes no more than 120 bytes
    And a new leader knows 79 tasks of job "a" as done and one as running
