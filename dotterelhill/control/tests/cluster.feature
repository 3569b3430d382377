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

  Scenario: After the leader dies, a job whose starts were all refused no longer counts as waiting
    # Guards against MIXED (issue 70) at every process that clients ask.
    When the minions refuse all starts
    And job "j" of 4 tasks of 10 seconds is submitted at a process that does not lead
    And 1 seconds pass
    Then every process tells that 1 job waits
    And every process shows job "j" as "queued"
    When the leader is killed
    And 5 seconds pass
    Then every process tells that 1 job waits
    And every process shows job "j" as "queued"
    When the minions take starts again
    And 2 seconds pass
    Then every process tells that 0 jobs wait

  Scenario: A new leader does not tell which stored runs it knows and which keep their tasks waiting
    When job "j" of 10 tasks of 20 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And minion "m1" is no longer listed
    And the lines of leaders are kept
    And the leader is killed
    And 3 seconds pass
    Then one process leads
    And a leader tells once that it has restored the runs of 1 jobs, of which those on "m1" are unlisted

  Scenario: A gauge of the leader is missing in the table of metrics, so that reading the metrics fails
    Then all gauges of the leader can be read, with "jobs.waiting_jobs jobs.overdue_lasting_tasks jobs.overdue_short_tasks jobs.overdue_filler_tasks jobs.overdue_wait_seconds" at 0

  Scenario: Nothing tells how long the rounds of a slow leader take
    When the leader plans for 0.2 seconds in each round
    And 5 seconds pass
    Then the longest tenth of "jobs.plan_seconds" is about 0.2 seconds

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

  Scenario: Processes whose store calls are refused reject all jobs once another process leads
    Given processes "a b c d e f g h" that have run for 3 seconds
    When the store refuses all calls of 4 processes, the leader among them
    And 4.5 seconds pass
    Then another process leads
    And each process that the store refuses knows the leader
    When a job of 2 tasks is submitted at each process that the store refuses
    And 3 seconds pass
    Then 6 starts were carried out

  Scenario: Processes whose store calls are refused reject all jobs once the leader is dead and another process leads
    Given processes "a b c d e f g h" that have run for 3 seconds
    When the store refuses all calls of 3 processes, the leader not among them
    And the leader is killed
    And 6 seconds pass
    Then another process leads
    And each process that the store refuses knows the leader

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

  Scenario Outline: A weak process leads after the VM of the leader has gone, since processes check a silent leader at different times
    Given processes "d e f g h i j k l m n o p q r s t" with half a processor and "w x y" with a full one that have run for <before> seconds
    When the VM of the leader is gone without a word
    And <after> seconds pass
    Then a process with a full processor leads

    Examples:
      | before | after |
      | 3.0    | 3.5   |
      | 3.1    | 3.5   |
      | 3.2    | 3.5   |
      | 3.3    | 3.5   |
      | 3.4    | 3.5   |
      | 3.5    | 3.5   |

  Scenario Outline: One lost answer of a leader whose renewals take <latency> s to be stored ends its term
    When the leader reaches the store <latency> s later than the others
    And <before> seconds pass
    And 1 status answer of the leader is lost on the way to another process
    And 3 seconds pass
    Then the first leader still leads with its first epoch

    Examples:
      | latency | before |
      | 0.6     | 4.0    |
      | 0.6     | 4.2    |
      | 0.6     | 4.4    |
      | 0.6     | 4.6    |
      | 0.6     | 4.8    |
      | 0.6     | 5.0    |

  Scenario Outline: A minion refuses a call that <overtaken by>, and the leader <does not>
    When job "j" of 4 tasks of 2 seconds is submitted at a process that does not lead
    And <event> while calls are on their way
    And 4 seconds pass
    Then the first leader <outcome>

    Examples:
      | overtaken by                                       | does not       | event                                             | outcome                           |
      | a newer one of the same leader has overtaken       | ends its term  | the fence of each minion rises                    | still leads with its first epoch  |
      | was sent before a later leader reached that minion | goes on        | each minion carries out a call of a later leader  | has ended its first term          |

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

  Scenario: Tasks of a minion that is lost together with the leader wait for twice a lease
    When job "j" of 4 tasks of 3 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And a minion with tasks of job "j" stops answering
    And the leader is killed
    And 13.5 seconds pass
    Then every reachable process shows job "j" as "completed"

  Scenario: Each of two takeovers in a row begins the wait for the leases of lost minions anew
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And a minion with tasks of job "j" stops answering
    And the leader is killed
    And 5 seconds pass
    And the leader is killed
    And 7 seconds pass
    Then each lost task of job "j" has started elsewhere

  Scenario: The wait for a lost minion begins with the claim, though the leader before was seen to end earlier
    Given processes "a b c d" with clocks of different origin that have run for 3 seconds
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader is killed
    And the next leader is killed for 1 second as soon as it leads
    And a minion with tasks of job "j" stops answering
    And 9.2 seconds pass
    Then each lost task of job "j" has started elsewhere

  Scenario Outline: A new leader waits for a whole lease of a minion that its predecessor could not reach
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And a minion with tasks of job "j" stops answering
    And <before> seconds pass
    And the leader is killed
    And <after> seconds pass
    Then each lost task of job "j" has started elsewhere

    Examples:
      | before | after |
      | 2      | 7     |
      | 4      | 5     |

  @single-place
  Scenario Outline: A lease that is stored as not renewed is renewed before a record says so, and the next leader counts the earlier end
    When job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader can't reach the minions with tasks of job "j" for <unreached> seconds, and then <fault>
    And <seconds> seconds pass
    And the leader and the minions with tasks of job "j" are cut off from the store and from all others
    And 40 seconds pass
    Then no task ran on two minions at a time

    Examples:
      | unreached | fault                                             | seconds |
      | 0.9       | can't store progress                              | 3       |
      | 1.3       | can't store renewals                              | 0.8     |
      | 0.9       | learns nothing of what it has stored since before | 0.8     |

  Scenario Outline: Tasks of a minion that is gone wait anew for its lease under each new leader
    Given processes "a b c d" with clocks of different origin that have run for 3 seconds
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And a minion with tasks of job "j" stops answering
    And <change>
    And 3 seconds pass
    And the entry of the minion that stopped answering is removed
    And <change>
    And 3 seconds pass
    And <change>
    And 3 seconds pass
    Then each lost task of job "j" has started elsewhere
    And 3 more terms have begun

    Examples:
      | change                                |
      | the leader is killed and starts again |
      | the present leader resigns            |

  Scenario: A minion that is lost just before a takeover is waited for anew when the next leader ends soon
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And a minion with tasks of job "j" stops answering
    And the leader is killed
    And 1.6 seconds pass
    And the leader is killed
    And 7.4 seconds pass
    Then each lost task of job "j" has started elsewhere

  Scenario Outline: A minion that is not reached for a second loses its runs while the leader can't store <what>
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the partition of the <what> gives no answer
    And <before> seconds pass
    And a minion with tasks of job "j" is not reached for 1.0 seconds
    And <after> seconds pass
    And the partition of the <what> answers again
    And 2 seconds pass
    Then no task lapsed

    Examples:
      | what     | before | after |
      | progress | 0      | 9     |
      | claims   | 0.7    | 5.3   |

  Scenario: The lease of a minion is closed since the event loop of the leader reads its answers late
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the event loop of the leading process is late by 0.3 seconds
    And a minion with tasks of job "j" is not reached for 1.2 seconds
    Then the leader extends all leases

  Scenario Outline: Lasting tasks of a minion that is lost together with the leader wait for longer than 9 s
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And <phase> seconds pass
    And a minion with tasks of job "j" stops answering
    And <before> seconds pass
    And the leader is killed
    And <after> seconds pass
    Then each lost task of job "j" has started elsewhere

    Examples:
      | phase | before | after |
      | 1.0   | 0.0    | 9.0   |
      | 1.3   | 0.3    | 8.7   |
      | 1.1   | 0.45   | 8.55  |

  Scenario: Lasting tasks of a minion that hangs while a poll waits, shortly before the leader is lost, wait for longer than 9 s
    Given minions hold polls back until a run ends
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1.3 seconds pass
    And a minion with tasks of job "j" stops answering
    And 1.2 seconds pass
    And the leader is killed
    And 7.8 seconds pass
    Then each lost task of job "j" has started elsewhere

  Scenario: Lasting tasks never start that a minion had which is lost with the leader and its witness
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And a minion with tasks of job "j" stops answering
    And the leader and its witness are killed
    And 10.5 seconds pass
    Then each lost task of job "j" has started elsewhere

  @single-place
  Scenario Outline: A leader whose witness answers renews leases longer than the next one assumes
    Given processes "a b c d" with clocks of different origin that have run for 3 seconds
    When the clock of the leader runs <percent> percent slow
    And answers to claims take <delay> seconds
    And job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And <before> seconds pass
    And the leader is cut off from the store, and nobody but it reaches the minions with tasks of job "j"
    And no other process claims for <late> seconds
    And 14 seconds pass
    Then no task ran on two minions at a time

    Examples:
      | percent | delay | before | late |
      | 0       | 0     | 1.0    | 0    |
      | 2       | 0.4   | 1.2    | 0    |
      | -2      | 0.2   | 1.4    | 0    |
      | 0       | 0     | 1.0    | 2.9  |
      | 2       | 0.4   | 1.2    | 2.7  |

  Scenario Outline: A leader renews no leases in an outage of the store since <what>
    When answers to claims take <delay> seconds
    And answer <lost> of the witness is lost
    And the store is unavailable to all processes
    Then the leader may renew leases for 3.4 seconds after its newest renewal

    Examples:
      | what                                 | delay | lost |
      | one answer of its witness is lost    | 0     | 4    |
      | the answers of its witness come late | 0.3   | 0    |

  Scenario: A leader needs no answer of a witness that a stored renewal names
    When the answer to a renewal that names witness "c" instead of "b" is lost
    Then the leader may not renew leases
    When witness "c" answers that it knows of no later claim
    Then the leader may not renew leases
    When witness "b" answers that it knows of no later claim
    Then the leader may renew leases
    When 0.5 seconds pass
    Then the leader may not renew leases

  Scenario: A leader that ends before it is sure of its predecessor makes the next one wait for that anew
    When job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader is killed
    And 2.8 seconds pass
    And a minion with tasks of job "j" stops answering
    And 0.2 seconds pass
    And the leader is killed and starts again
    And 8.8 seconds pass
    Then each lost task of job "j" has started elsewhere

  Scenario: A new leader waits for renewals of an earlier leader whose process has restarted
    When job "j" of 4 tasks of 3 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And a minion with tasks of job "j" stops answering
    And the leader is killed
    And 1.5 seconds pass
    And the killed process starts again
    And 10 seconds pass
    Then every reachable process shows job "j" as "completed"

  @single-place
  Scenario: A task starts elsewhere while a leader that the new one can't reach still renews its lease
    When job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader and the minions with tasks of job "j" are cut off from the store and from all others
    And 40 seconds pass
    Then no task ran on two minions at a time

  Scenario: Start orders that a lost minion never gets extend the lease of its tasks
    When job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And a minion with tasks of job "j" stops answering
    And a job of 1 short task is submitted each 0.3 seconds for 6.6 seconds
    And 0.5 seconds pass
    Then each lost task of job "j" has started elsewhere

  Scenario: A minion whose newest entry can't be read keeps getting starts until the list is reread
    When the entry of minion "m1" becomes unreadable
    And 1 seconds pass
    And job "j" of 4 tasks of 3 seconds is submitted at a process that does not lead
    And 1 seconds pass
    Then no start was sent to minion "m1"
    When the entry of minion "m1" gives 8 processors
    And job "k" of 12 tasks of 3 seconds is submitted at a process that does not lead
    And 2 seconds pass
    Then 16 starts were carried out

  @capacity
  Scenario: A leader that can't read the list of minions starts tasks on sizes that are out of date
    When the partition of the minions gives no answer
    And 4 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 2 seconds pass
    Then 0 starts were carried out
    And starts were held back 1 times
    When the partition of the minions answers again
    And 4 seconds pass
    Then 4 starts were carried out
    And the end of a hold was recorded 1 times

  @capacity
  Scenario: A new leader starts tasks on a list of minions that it read before a long load
    When the entry of minion "m1" gives 0 processors
    And the entry of minion "m2" gives 0 processors
    And 1 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 1 seconds pass
    Then 0 starts were carried out
    When the entry of minion "m1" gives 8 processors
    And the partitions of the submissions give no answer
    And the leader is killed
    And 3 seconds pass
    And the partition of the minions gives no answer
    And 5 seconds pass
    And the partitions of the submissions answer again
    And 2 seconds pass
    Then one process leads
    And 0 starts were carried out
    When the partition of the minions answers again
    And 3 seconds pass
    Then 4 starts were carried out

  Scenario: Starts on minions that guard their capacity wait for a list that can't be read
    Given the minions guard their capacity
    When the partition of the minions gives no answer
    And 4 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 2 seconds pass
    Then 4 starts were carried out
    And starts were held back 0 times

  Scenario: A lost read of the list of minions, or a slow store, holds starts back
    When the partition of the minions gives no answer
    And 1 seconds pass
    And the partition of the minions answers again
    And 3 seconds pass
    Then starts were held back 0 times
    When the store is slow
    And 10 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 3 seconds pass
    Then 4 starts were carried out
    And starts were held back 0 times

  @capacity
  Scenario: A list of minions that was read but could not be processed counts as up to date
    When each record of the minions fails to be processed
    And 4 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 2 seconds pass
    Then 0 starts were carried out

  @capacity
  Scenario: A list of minions that was read in part, up to the limit of one read, counts as up to date
    When the store is slow
    And 40 entries of minions take one read each
    And 6 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 3 seconds pass
    Then 0 starts were carried out
    And starts were held back 1 times
    When 10 seconds pass
    Then 4 starts were carried out

  @capacity
  Scenario: After dropped history, tasks start on earlier sizes while the list can't be read
    When the history of the minions is dropped and the whole list can't be read
    And 4 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 2 seconds pass
    Then 0 starts were carried out
    And starts were held back 1 times
    When the entry of minion "m1" gives 2 processors
    And the entry of minion "m2" gives 0 processors
    And the whole list of minions can be read again
    And 0.9 seconds pass
    Then 2 starts were carried out
    When 5 seconds pass
    Then 4 starts were carried out

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

  @single-place
  Scenario Outline: A leader that ended soon after its takeover makes the next one forget an earlier leader that still renews
    When job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader and the minions with tasks of job "j" are cut off from the store and from all others
    And the next leader <end> as soon as it leads
    And 40 seconds pass
    Then no task ran on two minions at a time

    Examples:
      | end                         |
      | resigns                     |
      | is killed and starts again  |
      | is killed for 1 second      |
      | falls silent                |

  @single-place
  Scenario Outline: A leader whose predecessor tells nothing of its own term forgets an earlier leader that still renews
    When job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And claims are answered as by <predecessor>
    And the leader and the minions with tasks of job "j" are cut off from the store and from all others
    And the store answers the next leader no more as soon as it leads
    And the others take it for unable at once
    And 40 seconds pass
    Then no task ran on two minions at a time

    Examples:
      | predecessor                          |
      | an earlier build                     |
      | a process that tells of an old term  |

  Scenario: A process tells for its new term what it has learned for an earlier one
    When a process that has led claims again and does not know until when earlier leaders renew
    Then it tells nothing about leaders before its new term
    When it learns that they renew for 2 more seconds
    Then it tells 0.5 seconds later that they renew for 1.5 more seconds

  @single-place
  Scenario: A claim whose process has not read the answer yet counts as ended, so another process claims as well
    When the answer to the next claim takes 0.4 seconds
    And the leader is killed
    And 5 seconds pass
    Then one process leads
    And 1 claims were made after that of the first leader

  @single-place
  Scenario Outline: A leader that reads late that its renewal was stored renews leases longer than the next one assumes
    When job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And <before> seconds pass
    And the answer to a renewal is lost, and the leader is cut off with its minions <after> seconds later
    And 40 seconds pass
    Then no task ran on two minions at a time

    Examples:
      | before | after |
      | 1.0    | 0.2   |
      | 1.0    | 0.4   |
      | 1.2    | 0.4   |
      | 1.2    | 0.6   |

  Scenario Outline: Tasks of minions that are lost with the VM of the leader wait for longer than lasting tasks may
    When job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And <before> seconds pass
    And a minion with tasks of job "j" stops answering
    And the VM of the leader is gone without a word
    And 11.0 seconds pass
    Then each lost task of job "j" has started elsewhere

    Examples:
      | before |
      | 1.0    |
      | 1.2    |
      | 1.4    |

  Scenario Outline: Tasks of a minion that is lost when the next leader can't reach the store wait for longer than lasting tasks may
    When job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And <before> seconds pass
    And the leader is killed
    And the store answers the next leader no more as soon as it leads
    And a minion with tasks of job "j" stops answering
    And 11.0 seconds pass
    Then each lost task of job "j" has started elsewhere

    Examples:
      | before |
      | 1.0    |
      | 1.2    |
      | 1.4    |

  Scenario: After a lost answer to its claim, a leader waits for the end that it would assume without one
    When job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the first 2 answers to claims are lost
    And the leader is killed
    And the store answers the next leader no more as soon as it leads
    And a minion with tasks of job "j" stops answering
    And 11.0 seconds pass
    Then each lost task of job "j" has started elsewhere

  Scenario: A leader that can't reach the store does not tell the next one what it has learned about earlier ones
    Given processes "a b c d" with clocks of different origin that have run for 3 seconds
    When job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader is killed
    And the store answers the next leader no more as soon as it leads
    And the store answers the next leader no more as soon as it leads
    And a minion with tasks of job "j" stops answering
    And 10.5 seconds pass
    Then each lost task of job "j" has started elsewhere

  Scenario: A leader that has lost its claim goes on loading and reports that it leads
    When reads of the newest submissions take 2 seconds
    And the leader is killed
    And 2.5 seconds pass
    And the process that loads is told of a newer claim
    Then it has ended its term within 0.05 seconds
    When 3 seconds pass
    Then it has not reported that it leads

  Scenario: A leader whose lease is over when it has loaded reports that it leads
    When reads of the newest submissions take 4 seconds
    And the leader is killed
    And 2.5 seconds pass
    And the process that loads can't renew its claim
    And 4 seconds pass
    Then it has not reported that it leads

  Scenario: Loading starts over whenever one read of the store fails
    When 20 jobs of 1 task are submitted
    And the newest submissions are read in pages of 1 record, and 12 of these reads fail
    And the leader is killed
    And 6 seconds pass
    Then one process leads
    And the leader has read at most 28 pages of submissions

  @single-place
  Scenario Outline: A leader whose clock drifts renews leases after the next one counts its term as ended
    Given processes "a b c" with clocks of different origin that have run for 3 seconds
    When the clock of the leader runs <percent> percent slow
    And messages of the leader take <delay> seconds
    And job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And <before> seconds pass
    And the leader and the minions with tasks of job "j" are cut off from the store and from all others
    And 14 seconds pass
    Then no task ran on two minions at a time
    And the earlier leader renewed nothing after the time that the next one assumed
    And the first leader renewed nothing after the time that the newest one learned

    Examples:
      | percent | delay | before |
      | 2       | 0.005 | 1.0    |
      | 2       | 0.005 | 1.3    |
      | 0       | 0.4   | 1.2    |
      | -2      | 0.3   | 1.4    |

  @single-place
  Scenario Outline: An earlier leader renews leases after the time that its successor, which can't reach the store, tells the next one
    Given processes "a b c" with clocks of different origin that have run for 3 seconds
    When the clock of the leader runs <first> percent slow
    And leaders have <witness>
    And answers to claims take <delay> seconds
    And job "j" of 4 tasks of 30 seconds is submitted at a process that does not lead
    And <before> seconds pass
    And the leader and the minions with tasks of job "j" are cut off from the store and from all others
    And the store answers the next leader no more as soon as it leads
    And its clock runs <next> percent slow
    And the others take it for unable at once
    And 14 seconds pass
    Then no task ran on two minions at a time
    And the first leader renewed nothing after the time that the newest one learned

    Examples:
      | first | next | delay | before | witness    |
      | 0     | 0    | 0     | 1.0    | no witness |
      | 2     | 0    | 0     | 1.3    | no witness |
      | 2     | 2    | 0.4   | 1.2    | no witness |
      | 0     | -2   | 0.4   | 1.4    | no witness |
      | -2    | 0    | 0.2   | 1.0    | no witness |
      | 2     | 2    | 0.4   | 1.2    | a witness  |
      | -2    | 0    | 0.2   | 1.0    | a witness  |

  Scenario Outline: A leader that loads and can't renew is succeeded while it makes progress, or kept when it makes none
    When 50 jobs of 1 task are submitted
    And <load>
    And the leader is killed
    And 2.5 seconds pass
    And renewals of the process that loads are lost
    And <seconds> seconds pass
    Then <count> processes have claimed since

    Examples:
      | load                                           | seconds | count |
      | each job takes 100 ms to load                  | 3.0     | 1     |
      | reads of the newest submissions take 20 seconds | 5.0     | 2     |

  Scenario: A leader that can't reach the store does not learn of a claim made long after its lease
    When 40 jobs of 1 task are submitted
    And each job takes 400 ms to load
    And the leader is killed
    And 2.5 seconds pass
    And renewals of the process that loads are lost
    And 8 seconds pass
    Then 2 processes have claimed since
    And it has ended its term within 0.5 seconds
