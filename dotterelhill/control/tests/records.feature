Feature: The store limits the size of records and of calls

  Background:
    Given processes "a b c" that have run for 3 seconds

  Scenario: Nothing starts any more once the estimates of many images exceed the largest record
    # Guards against LOST of review/1: each write of progress was refused together with the estimates.
    When 2500 pairs of images with names of 100 bytes have run beside each other
    And 5 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 6 seconds pass
    Then every process shows job "j" as "completed"
    And the store has refused no append for its size
    When the leader is killed
    And 4 seconds pass
    Then the next leader knows estimates of the newest images

  @at-most-once
  Scenario: Nothing starts any more once a job has more running tasks than fit into one record
    # Guards against review/5 of commit c8e5079: the progress of one job exceeded the largest record.
    When the store takes records of at most 6000 bytes and calls of at most 8000 bytes
    And the entry of minion "m1" gives 900000 processors
    And the entry of minion "m2" gives 900000 processors
    And 2 seconds pass
    And job "j" of 900 tasks of 12 seconds is submitted at a process that does not lead
    And job "k" of 4 tasks is submitted there as well
    And 9 seconds pass
    And the leader is killed
    And 20 seconds pass
    Then every reachable process shows job "j" as "completed"
    And every reachable process shows job "k" as "completed"
    And 904 starts were carried out
    And the store has refused no append for its size
    When 124 seconds pass
    Then the store holds no progress

  Scenario: The jobs that expire in one round exceed the largest append, and nothing is stored any more
    When the store takes records of at most 1500 bytes and calls of at most 1500 bytes
    And 400 jobs of 1 task are submitted
    And the leader is killed
    And 50 seconds pass
    Then 400 starts were carried out
    When the leader is killed
    And 130 seconds pass
    Then the store holds no progress
    And the store has refused no append for its size

  @at-most-once
  Scenario: One record that the store refuses for good stops all jobs
    When the store refuses each record of job "j"
    And the lines of leaders are kept
    And job "j" of 2 tasks is submitted at a process that does not lead
    And job "k" of 4 tasks is submitted there as well
    And 20 seconds pass
    Then every process shows job "k" as "completed"
    And every process shows job "j" as "queued"
    And 4 starts were carried out
    And a leader tells at most 5 times that progress of job "j" is refused, and counts 1 such job
    When the store accepts all records again
    And 8 seconds pass
    Then every process shows job "j" as "completed"
    And 6 starts were carried out

  @at-most-once
  Scenario: Ends whose effect the store refuses are acknowledged, so that the tasks run again
    When job "j" of 2 tasks of 4 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the store refuses each record of job "j"
    And 6 seconds pass
    And job "k" of 4 tasks is submitted there as well
    And 6 seconds pass
    Then every process shows job "k" as "completed"
    And every process shows job "j" as "running"
    When the leader is killed
    And the store accepts all records again
    And 5 seconds pass
    Then every reachable process shows job "j" as "completed"
    And 6 starts were carried out
