Feature: starts on minions whose capacity shrinks and grows while they run

  Background:
    Given a fleet with minions "m1 m2" of 4 processors

  @capacity
  Scenario: a task starts on a minion that shrank while its plan was being stored
    Given job "a" of 8 tasks of 1 processors
    When the minions report
    And the scheduler plans
    And minions "m1 m2" have 1 processors
    And the plan is stored
    Then 2 starts were sent
    When 3 rounds pass
    Then 2 starts were sent in total

  Scenario: some members of a gang start after the minion of others shrank
    Given job "b" of a gang of 4 tasks of 2 processors
    When the minions report
    And the scheduler plans
    And minion "m1" has 2 processors
    And the plan is stored
    Then nothing was sent
    When minion "m1" has 4 processors
    And 2 rounds pass
    Then 4 starts were sent in total
    And all starts were of job "b" with run 2

  Scenario: some members of a gang start after the failure domain of others was evacuated
    Given minion "m1" is in failure domain "serra"
    And job "b" of a gang of 4 tasks of 2 processors
    When the minions report
    And the scheduler plans
    And failure domain "caxias" is evacuated
    And the plan is stored
    Then nothing was sent

  @capacity
  Scenario: a filler is planned in each round on a minion whose runs exceed its smaller capacity
    Given job "l" of 2 lasting tasks of 3 processors
    When 2 rounds pass
    Then 2 starts were sent in total
    When minions "m1 m2" have 2 processors
    And job "f" of 2 fillers of 500 thousandths of a processor is submitted
    And 3 rounds pass
    Then 2 starts were sent in total
    And no stop was sent
    And no plan was withheld
    When minions "m1 m2" have 4 processors
    And 2 rounds pass
    Then 4 starts were sent in total

  Scenario: a minion that shrinks to no processors makes each leader's planning divide by zero
    Given a fleet with minions "m1 m2" of 32 processors
    And serving job "s" of image "web" with target 50 ms on "m1 m2"
    And the tails of job "s" are 15 ms for 5 seconds
    When job "f" of 2 fillers of image "print" is submitted
    And 2 rounds pass
    Then 2 fillers run
    When minions "m1 m2" have 0 processors
    And job "g" of 2 fillers of image "print" is submitted
    And job "t" of 2 lasting tasks of 1 processors is submitted
    And the tails beside fillers are 70 ms for 2 seconds
    Then 2 fillers run
    And every filler beside job "s" is paced below 30 percent
    And no stop was sent

  Scenario: reports of a minion that is smaller than its fillers make their image look harmless
    Given a fleet with minions "m1" of 32 processors
    And serving job "s" of image "web" with target 50 ms on "m1"
    And the effect of "print" on "web" is known to be 2
    And job "f" of 1 filler of 500 thousandths of a processor is submitted
    When 2 rounds pass
    Then 1 fillers run
    When minion "m1" has 0 processors
    And the tails beside fillers are 20 ms for 5 seconds
    Then the known effect of "print" on "web" is still at least 1

  @capacity
  Scenario: a task starts on a size that went out of date while its plan was being stored
    Given job "a" of 2 tasks of 1 processors
    When the minions report
    And the scheduler plans
    And the list of minions can't be read
    And the writing of the plan takes 2.95 seconds
    And the plan is stored
    Then nothing was sent
    When the list of minions can be read again
    And 2 rounds pass
    Then 2 starts were sent in total

  Scenario: a lasting task keeps its claim on a minion whose accelerators are gone
    Given minions "m1 m2" have 4 processors and 1 accelerators
    And job "a" of 4 tasks of 2 processors
    When 1 rounds pass
    And job "l" of 1 lasting task of 4 processors and 1 accelerators is submitted
    And 5.5 seconds pass in rounds
    And the claimed minion loses its accelerators
    And short tasks of 2 processors end and new ones are submitted for 2 seconds
    Then job "l" has started

  Scenario: a claim on a minion that has shrunk keeps a lasting task from another minion
    Given job "a" of 4 tasks of 2 processors
    When 1 rounds pass
    And job "l" of 1 lasting task of 4 processors is submitted
    And 5.5 seconds pass in rounds
    And the claimed minion shrinks to 2 processors
    And short tasks of 2 processors end and new ones are submitted for 2 seconds
    Then job "l" has started

  Scenario: room that has come back stays unused, or a claim on it outlives the shrink
    Given minions "m1 m2" have 1 processors
    And job "l" of 1 lasting task of 4 processors
    And job "a" of 2 tasks of 2 processors
    When 8.0 seconds pass in rounds
    Then 0 starts were sent in total
    When minions "m1 m2" have 4 processors
    And 1 rounds pass
    Then 3 starts were sent in total

  Scenario: fillers that found no minion wait on after it has grown
    Given minions "m1 m2" have 0 processors
    And job "f" of 2 fillers of 3000 thousandths of a processor is submitted
    When 2 rounds pass
    Then 0 starts were sent in total
    When minions "m1 m2" have 4 processors
    And 1 rounds pass
    Then 2 starts were sent in total

  Scenario: a change of capacity leaves no trace in the log
    Given job "a" of 2 tasks of 2 processors
    When 2 rounds pass
    And minion "m1" has 2 processors
    And minion "m1" has 2 processors
    And minion "m1" has 4 processors
    Then these changes of the capacity of "m1" were recorded: 4000 to 2000, 2000 to 4000

  Scenario: a filler is placed by the headroom that a minion had before it shrank
    Given a fleet with minions "m1" of 32 processors
    And serving job "s" of image "web" with target 50 ms on "m1"
    And the tails of job "s" are 15 ms for 5 seconds
    And the effect of "print" on "web" is known to be 4
    When job "f" of 1 fillers of image "print" is submitted
    And the minions report
    And the scheduler plans
    And the plan is stored
    Then 1 fillers run
    When job "g" of 1 fillers of image "print" is submitted
    And minion "m1" with label "first" has 12 processors
    And the scheduler plans
    And the plan is stored
    Then 1 fillers run

  @capacity
  Scenario: a start exceeds the room of a minion in some history of shrinks, stops and lost answers
    When 40 random histories of 30 seconds are played, each with a calm at its end
    Then no start went beyond the room of its minion
    And in the calm no lasting task was away for 9 seconds while two of its size fitted
    And at least 2000 starts were carried out and minions shrank at least 1000 times
