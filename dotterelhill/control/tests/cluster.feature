Feature: processes lead the fleet one after the other and lose no job

  Background:
    Given processes "a b c" that have run for 3 seconds

  Scenario: several processes lead at once, or none does
    Then one process leads

  @own-answer
  Scenario: a job is known only where it was submitted
    When job "j" of 2 tasks is submitted at a process that does not lead
    And 3 seconds pass
    Then every process shows job "j" as "completed"
    And 2 starts were carried out

  @single-place
  Scenario: a leader that dies leaves its jobs waiting, or running twice
    When job "j" of 4 tasks of 3 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader is killed
    And 3 seconds pass
    Then one process leads
    When 4 seconds pass
    Then every process shows job "j" as "completed"
    And 4 starts were carried out

  Scenario: a leader that the store turns away keeps the lead
    When the store turns the leader away
    And 3.5 seconds pass
    Then another process leads
    When job "j" of 2 tasks is submitted at a process that does not lead
    And 3 seconds pass
    Then every reachable process shows job "j" as "completed"

  Scenario: tasks lapse while the store is away for all
    When job "j" of 2 tasks of 12 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the store is away for 8 seconds
    And 8 seconds pass
    Then every process shows job "j" as "completed"
    And 2 starts were carried out
    And no task lapsed

  @single-place
  Scenario: a leader that wakes after another took over goes on ordering
    When job "j" of 2 tasks of 3 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader is cut off from everything
    And 5 seconds pass
    Then another process leads
    When the former leader is reachable again
    And 3 seconds pass
    Then one process leads
    And 2 starts were carried out

  @at-most-once
  Scenario: a submission whose answer was lost is refused or becomes two jobs
    When the store loses 3 answers to a process that does not lead
    And job "j" of 2 tasks is submitted there
    And 3 seconds pass
    Then every process shows job "j" as "completed"
    And 2 starts were carried out

  @at-most-once
  Scenario: a write of the leader whose answer was lost is made twice or skipped
    When the store loses 2 answers to the leader
    And job "j" of 2 tasks is submitted at a process that does not lead
    And 4 seconds pass
    Then every process shows job "j" as "completed"
    And 2 starts were carried out

  Scenario: a process that the store turns away refuses what its leader could store
    When the store turns away a process that does not lead
    And job "j" of 2 tasks is submitted there
    And 3 seconds pass
    Then every process shows job "j" as "completed"

  @not-run
  Scenario: a job is refused and runs all the same
    When the store is away for all
    Then a submission of job "j" is refused as not stored
    When the store is back
    And 4 seconds pass
    Then 0 starts were carried out

  @resume-once
  Scenario: an accepted job is lost when all processes are killed
    When job "j" of 2 tasks of 2 seconds is submitted at a process that does not lead
    And all processes are killed
    And processes "a b c" start
    And 7 seconds pass
    Then every process shows job "j" as "completed"
    And 2 starts were carried out

  Scenario: submissions are missed when the store drops its history
    When the store drops the history of submissions unread
    And 4 seconds pass
    Then every process shows job "late" as "completed"

  Scenario: a leader that stops lets others wait for its lease
    When the leader resigns
    And 1 seconds pass
    Then another process leads

  Scenario: each unanswered poll extends the lease of a minion that is gone
    When job "j" of 2 tasks of 2 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And a minion with tasks of job "j" is gone
    And 11 seconds pass
    Then every process shows job "j" as "completed"

  @not-run
  Scenario: a submission is held to its deadline though the store is known to be away
    When the store is silent for all
    And 4 seconds pass
    Then a submission of job "j" is refused as not stored within 0.1 seconds
    And nothing of it was sent to the store

  Scenario: submissions wait for each other until their clients leave while the store is slow
    When the store is slow
    And 24 jobs are submitted at all processes within 2 seconds
    Then each submission was acknowledged within 1.5 seconds
    And one process leads

  Scenario: a process far from the store leads, since a slow one hides the distance
    Given processes "d e f g h" far from the store and "i j k l" near to it that have run for 3 seconds
    Then a process near to the store leads
    When the store is slow
    And the leader resigns
    And 5 seconds pass
    Then a process near to the store leads

  Scenario: a process of half a processor leads while others have more
    Given processes "d e f g h i j k l m n o p q r s t" of half a processor and "w x y" of a full one that have run for 3 seconds
    Then a process of a full processor leads
    When the leader is killed
    And 3.5 seconds pass
    Then a process of a full processor leads
