Feature: Leader election, takeover and durable job submission

  Background:
    Given processes "a b c" that have run for 3 seconds

  Scenario: Several processes lead at once, or none leads
    Then one process leads

  @own-answer
  Scenario: A job is known only to the process at which it was submitted
    When job "j" of 2 tasks is submitted at a process that does not lead
    And 3 seconds pass
    Then every process shows job "j" as "completed"
    And 2 starts were carried out

  @single-place
  Scenario: After the leader dies, its jobs keep waiting or run twice
    When job "j" of 4 tasks of 3 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader is killed
    And 3 seconds pass
    Then one process leads
    When 4 seconds pass
    Then every process shows job "j" as "completed"
    And 4 starts were carried out

  Scenario: A leader whose store calls are refused keeps the leadership
    When the store refuses all calls of the leader
    And 3.5 seconds pass
    Then another process leads
    When job "j" of 2 tasks is submitted at a process that does not lead
    And 3 seconds pass
    Then every reachable process shows job "j" as "completed"

  Scenario: Leases of running tasks expire while the store is unavailable to all processes
    When job "j" of 2 tasks of 12 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the store is unavailable for 8 seconds
    And 8 seconds pass
    Then every process shows job "j" as "completed"
    And 2 starts were carried out
    And no task lapsed

  @single-place
  Scenario: A leader that resumes after another process took over continues to send orders
    When job "j" of 2 tasks of 3 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader is cut off from all other machines
    And 5 seconds pass
    Then another process leads
    When the former leader is reachable again
    And 3 seconds pass
    Then one process leads
    And 2 starts were carried out

  @at-most-once
  Scenario: A submission whose store answer is lost is refused or becomes two jobs
    When the store loses 3 answers to a process that does not lead
    And job "j" of 2 tasks is submitted there
    And 3 seconds pass
    Then every process shows job "j" as "completed"
    And 2 starts were carried out

  @at-most-once
  Scenario: A write of the leader whose store answer is lost is repeated or skipped
    When the store loses 2 answers to the leader
    And job "j" of 2 tasks is submitted at a process that does not lead
    And 4 seconds pass
    Then every process shows job "j" as "completed"
    And 2 starts were carried out

  Scenario: A process whose store calls are refused rejects a job that the leader could store
    When the store refuses all calls of a process that does not lead
    And job "j" of 2 tasks is submitted there
    And 3 seconds pass
    Then every process shows job "j" as "completed"

  @not-run
  Scenario: A job that is refused while the store is unavailable runs later
    When the store is unavailable to all processes
    Then a submission of job "j" is refused as not stored
    When the store is available again
    And 4 seconds pass
    Then 0 starts were carried out

  @resume-once
  Scenario: An accepted job is lost when all processes are killed
    When job "j" of 2 tasks of 2 seconds is submitted at a process that does not lead
    And all processes are killed
    And processes "a b c" start
    And 7 seconds pass
    Then every process shows job "j" as "completed"
    And 2 starts were carried out

  Scenario: Submissions are missed because the store drops its history before they are read
    When the store drops the history of submissions before it is read
    And 4 seconds pass
    Then every process shows job "late" as "completed"

  Scenario: After a leader stops, other processes wait for its lease to expire
    When the leader resigns
    And 1 seconds pass
    Then another process leads

  Scenario: Unanswered polls extend the lease of a dead minion, so its tasks are never restarted
    When job "j" of 2 tasks of 2 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And a minion with tasks of job "j" stops answering
    And 11 seconds pass
    Then every process shows job "j" as "completed"

  @not-run
  Scenario: A submission waits until its deadline although the store is known to be unavailable
    When the store answers no process
    And 4 seconds pass
    Then a submission of job "j" is refused as not stored within 0.1 seconds
    And no append was sent to the store

  Scenario: A slow store makes submissions queue behind each other until their clients time out
    When the store is slow
    And 24 jobs are submitted at all processes within 2 seconds
    Then each submission was acknowledged within 1.5 seconds
    And one process leads

  Scenario: A process far from the store leads because a slow store hides the difference in latency
    Given processes "d e f g h" far from the store and "i j k l" near it that have run for 3 seconds
    Then a process near the store leads
    When the store is slow
    And the leader resigns
    And 5 seconds pass
    Then a process near the store leads

  Scenario: A process with half a processor leads although others have a full one
    Given processes "d e f g h i j k l m n o p q r s t" with half a processor and "w x y" with a full one that have run for 3 seconds
    Then a process with a full processor leads
    When the leader is killed
    And 3.5 seconds pass
    Then a process with a full processor leads

  Scenario: An answer of one minion that can't be processed ends the term of each leader in turn
    When 6 calls of the leader to minions fail with an unexpected error
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 4 seconds pass
    Then the first leader still leads with its first epoch
    And every process shows job "j" as "completed"
    And 4 starts were carried out

  @single-place
  Scenario: A relay that fails makes a well minion count as silent, so its tasks start elsewhere
    When job "j" of 4 tasks of 8 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And 4 calls of the leader to minions are lost with their relay
    And 9 seconds pass
    Then every process shows job "j" as "completed"
    And 4 starts were carried out
    And no minion counted as silent
    And no task lapsed

  Scenario: A record that can't be processed ends the process that follows its stream
    When a process meets a record of the configuration that it can't process
    And 3 seconds pass
    Then that process follows the configuration again

  Scenario: A claim that can't be decoded ends each process that reads it
    When the newest claim in the store is damaged
    And the leader is killed
    And 3 seconds pass
    Then every remaining process still checks the leader

  Scenario Outline: Work on a minion that was only silent for a while is given up and started again
    Given minions hold polls back until a run ends
    When job "j" of 4 tasks of 12 seconds is submitted at a process that does not lead
    And 3 seconds pass
    And <count> polls of each minion in a row get no answer <source>
    And 12 seconds pass
    Then every process shows job "j" as "completed"
    And 4 starts were carried out
    And no task lapsed

    Examples:
      | count | source       |
      | 1     |              |
      | 2     |              |
      | 1     | from a relay |

  @leaving
  Scenario: After a takeover, work goes to a minion that had left while its entry is still listed
    When minion "m1" leaves without a word
    And the leader is killed
    And 3 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 3 seconds pass
    Then every reachable process shows job "j" as "completed"
    And no start was sent to minion "m1"

  Scenario: After a restart of all processes, a minion whose entry was removed is in use again
    When the entry of minion "m1" is removed
    And 2 seconds pass
    And all processes are killed
    And processes "d e" start
    And 4 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 3 seconds pass
    Then every reachable process shows job "j" as "completed"
    And no start was sent to minion "m1"

  Scenario: A task that crashes its minions is started without limit, and its minions' other work is lost
    When deadly job "x" of 1 task and job "j" of 6 tasks of 3 seconds are submitted
    And 25 seconds pass
    Then every process shows job "x" as "failed"
    And every process shows job "j" as "completed"
    And deadly tasks have crashed 2 minions

  Scenario: Each new leader starts a task that crashes its minions as if it were new
    When deadly job "x" of 1 task and job "j" of 6 tasks of 3 seconds are submitted
    And the leader is killed after the next crash
    And the leader is killed after the next crash
    And process "d" starts
    And 40 seconds pass
    Then every reachable process shows job "x" as "failed"
    And every reachable process shows job "j" as "completed"
    And deadly tasks have crashed at most 4 minions
