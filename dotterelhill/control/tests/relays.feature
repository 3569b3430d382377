Feature: calls to minions through relays

  Background:
    Given a leader with 48 minions and 2 relays in their failure domain

  Scenario: all calls to hundreds of minions pass through the leader's own connections
    When every minion is called once
    Then every minion was called once
    And 0 calls were sent directly
    And each relay sent at least 12 calls
    And the leader sent at most 4 messages with calls

  Scenario: more relays are used than the minions need, so that messages carry few calls
    Given 3 more relays in their failure domain
    When every minion is called once
    Then 2 relays sent calls

  Scenario: the weakest process relays although stronger ones are connected
    Given 1 more relays with 4 processors in their failure domain
    When every minion is called once
    Then the strongest relay sent calls

  Scenario: a relay that has stopped responding holds back the calls to its minions
    When a relay freezes
    And every minion is called once
    Then every call ends within 2 seconds
    When every minion is called once
    Then every call ends within 0.2 seconds
    And every call is answered

  Scenario: calls of a relay that has died wait for their time-out
    When every minion is called with a wait of 2 seconds and a relay dies meanwhile
    Then every failed call ends within 0.2 seconds
    When every minion is called once
    Then every call is answered

  Scenario: a relay that has left or can't answer is the witness of the leader
    When a relay of an earlier build and relays "b c" that answer as witnesses connect
    Then the witness of the leader is "b"
    When relay "b" leaves and connects again at once
    Then the witness of the leader is "c"

  Scenario: relays are not told, or told again with each message, which process knows of the next leader
    When relay "w" connects as a witness beside the others, and then one more relay
    And 2 seconds pass on the links
    Then each relay knows the address of the witness
    And each link has carried that address once

  Scenario: the witness is lost with the failure domain of the leader, or answers late
    When relays connect that can be witnesses
      | name | domain | processors |
      | b    | own    | 4          |
      | c    | other  | 0.5        |
      | d    | other  | 2          |
    Then the witness of the leader is "d"

  @at-most-once
  Scenario: a relay that was paused carries out orders that are out of date
    When messages to a relay are delayed by 3 seconds
    And every minion is called once
    And the connections stay open for 4 seconds
    Then no minion was called by that relay

  @graceful-stop
  Scenario: a relay that is stopped loses the answers to calls in progress
    When every minion is called with a wait of 1 seconds and a relay leaves meanwhile
    Then every call is answered
    When every minion is called once
    Then the relay that left sent no further call

  Scenario: an unexpected error in one call ends the connection that other calls share
    When a call to minion "m1" raises an unexpected error at its relay
    And every minion is called once
    Then 47 calls are answered
    And 2 relays are connected

  Scenario: the leader takes its own delay for the silence of its relays
    When the event loop of the leader has been late by 1 seconds
    And messages from the relays are delayed by 1.5 seconds
    And every minion is called once
    Then every call is answered
    And 2 relays are connected

  Scenario: a follower misses that the leader has given up its claim
    Then the relays find the leader present
    When the leader drops its claim
    And the connections stay open for 1 seconds
    Then the relays find the leader gone

  Scenario: calls that wait to be sent reach the minions after the leader has resigned
    When every minion is called and the leader resigns before it has sent the calls
    Then no relay was sent a call
    And every failed call ends within 0.01 seconds
    And the relays find the leader gone

  Scenario: a minion that no relay reaches loses an order through them every few seconds
    When no relay reaches minion "m1" any more
    And every minion is called each second for 60 seconds
    Then at most 6 calls to minion "m1" were relayed

  Scenario: a leader that stops waits for each of its relays before it resigns
    Given 20 more relays in their failure domain
    When the term ends while each relay takes 0.3 seconds to close its connection
    Then the leader can resign within 0.1 seconds
    And after 0.5 seconds all connections are closed

  Scenario: silent relays of a whole failure domain are given up one after the other
    Given 20 more relays in their failure domain
    And 2 more relays with 4 processors in their failure domain
    When all relays freeze, and closing a connection takes 0.5 seconds
    And every minion is called with a wait of 3 seconds and a relay leaves meanwhile
    Then every call ends within 2 seconds

  Scenario: clocks that drift apart make a relay refuse all calls after some hours
    Given the clock of a relay runs 0.1 percent fast
    When the connections stay open for 3600 seconds
    And every minion is called once
    Then every call is answered
    When messages to a relay are delayed by 3 seconds
    And every minion is called once
    And the connections stay open for 4 seconds
    Then no further minion was called by that relay

  @single-place
  Scenario: a delayed message makes a relay take the leader's clock for more behind than it is
    When the connections stay open for 3 seconds
    And messages to a relay are delayed by 0.8 seconds
    And the connections stay open for 3 seconds
    Then each relay knows the clock of the leader to within 0.1 seconds, and never too early

  Scenario Outline: a caller that has closed its connection before it is served leaves an unhandled error
    When a caller of the peer server closes its connection after sending <request>
    Then the peer server has logged no unhandled error

    Examples:
      | request                |
      | the request of a relay |
      | a part of a claim      |

  Scenario: the start orders of a job repeat its payload, so that they fill the leader's link
    When 80 tasks of a job with a payload of 4000 bytes are started
    Then each minion got its start order with that payload
    And the leader sent at most 32000 bytes to the relays

  Scenario: a relay of the build before gets start orders that it can't complete
    Given 1 relays of the build before prefixes in their failure domain
    When 80 tasks of a job with a payload of 4000 bytes are started
    Then each minion got its start order with that payload

  Scenario: a minion gets the payload of another job when more jobs start tasks than a relay keeps payloads
    When 3 tasks of each of 300 jobs with a payload of 4000 bytes are started in turn
    Then each minion got its start order with that payload

  Scenario: a start order that no task waits for loses its payload or its answer
    When 80 tasks of a job with a payload of 4000 bytes are started by submitted orders
    Then each minion got its start order with that payload
    And the outcome of each submitted order is "started"
    And the leader sent at most 32000 bytes to the relays
    And 0 calls were sent directly

  Scenario: a submitted start order is taken for refused although its relay gives no answer
    When a relay freezes
    And 48 tasks of a job with a payload of 100 bytes are started by submitted orders
    Then the outcome of each submitted order is "started" or "unknown"
    And each submitted order had its outcome within 2 seconds
    When 48 tasks of a job with a payload of 100 bytes are started by submitted orders
    Then no relay takes the orders to minions whose outcome was "unknown"

  Scenario: a start order that no relay has sent is taken for one that may have an effect
    When 48 tasks of a job with a payload of 100 bytes are submitted and all relays fail at once
    Then the outcome of each submitted order is "not sent"

  # Guards against an error that ends the check of the relays, and with it their heartbeats.
  Scenario: an answer that can't be processed ends the work on all later answers
    When 48 orders are submitted whose answers can't be processed, and all relays are silent for 4 s
    Then each of the 48 answers was tried

  Scenario Outline: the answer to a submitted start order is misunderstood
    Given minion "m1" answers with status <status> and <body>
    When 48 tasks of a job with a payload of 100 bytes are started by submitted orders
    Then the outcome of the order to minion "m1" is "<outcome>"

    Examples:
      | status | body                | outcome           |
      | 200    | {"clockMs":7}       | started           |
      | 409    | {"reason":"room"}   | no room           |
      | 409    | {"reason":"old"}    | outdated run      |
      | 409    | {"reason":"late"}   | late              |
      | 409    | {"reason":"fence"}  | fenced            |
      | 429    | {}                  | unhealthy         |
      | 421    | {}                  | other incarnation |
      | 400    | {"reason":"fields"} | refused           |
      | 502    | bad gateway         | unknown           |

  Scenario Outline: the answer to a submitted stop or change of pace is misunderstood
    Given minion "m1" answers with status <status> and <body>
    When the runs of all minions are stopped and paced by submitted orders
    Then both orders to minion "m1" are <result>
    And all other submitted orders are confirmed

    Examples:
      | status | body               | result      |
      | 200    | {}                 | confirmed   |
      | 409    | {"reason":"fence"} | fenced      |
      | 404    | {}                 | unconfirmed |
      | 500    | {}                 | unconfirmed |

  Scenario: a stop is taken for confirmed although its relay has failed
    When the runs of all minions are stopped and paced by submitted orders and all relays fail
    Then all submitted orders are unconfirmed

  # A poll is due each 1.2 s. So that a lease of 6 s outlasts two lost ones, none may wait for 0.8 s.
  Scenario Outline: polls that renew leases wait behind start orders on the leader's link
    Given a link of the leader that carries 250000 bytes a second
    And minions that answer after <seconds> seconds
    When <count> jobs with a payload of 4000 bytes start a task each, and every minion is polled for 6 seconds
    Then each poll is answered within 0.8 seconds
    And no relay takes the leader for silent
    And at least <started> tasks have started, and the other orders were not sent

    Examples:
      | count | seconds | started |
      | 32    | 0.002   | 32      |

    @known-red
    Examples: more orders than the link carries in half a second
      | count | seconds | started |
      | 130   | 0.002   | 110     |
      | 400   | 0.002   | 110     |
      | 130   | 0.4     | 60      |
