Feature: Promises under failure

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A graceful stop of a sidecar cuts off no request
    Given 6 streams of 200 pieces are running
    When process "sidecar-tapster-lm-1" is told to stop
    Then every stream is complete
    And process "sidecar-tapster-lm-1" ends with status 0
    And no request ran twice and no adapter was unloaded in flight

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A graceful stop of an entry cuts off no request
    Given 6 streams of 200 pieces are running
    When process "entry-1" is told to stop
    Then every stream is complete
    And process "entry-1" ends with status 0

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A leaving upstream starts nothing new
    Given 2 streams of 200 pieces are running
    When the operator drains "tapster-lm-1"
    And 3 seconds have passed
    And 10 requests are sent to each entry
    Then "tapster-lm-1" started nothing in the last step
    And every stream is complete

  @fixture.entries.2 @fixture.deployment.association
  Scenario: An upstream that the VM list shows as leaving starts nothing new
    When the VM list shows the VM of "tapster-lm-1" as leaving
    And 8 seconds have passed
    And 10 requests are sent to each entry
    Then "tapster-lm-1" started nothing in the last step

  @fixture.entries.2 @fixture.deployment.association
  Scenario: An answer is resumed through another entry
    Given a stream of 200 pieces through entry 1 has passed 20 pieces
    When process "entry-1" is killed
    And the caller resumes the answer through entry 2
    Then the joined answer is whole

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A redemption whose answer is lost runs once
    Given stand-in "token-ledger-1" has faults '{"fail_after_effect": 1}'
    When a redemption is sent through both entries, one after the other
    Then the redemption was told as "in_doubt"
    And the redemption ran 1 time

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A redemption in flight is never run again by the next sidecar
    Given stand-in "token-ledger-1" has faults '{"delay_ms": 60000}'
    And a redemption is running through entry 1
    When process "sidecar-token-ledger-1" is killed
    And process "sidecar-token-ledger-1" is started again
    And stand-in "token-ledger-1" has faults '{"delay_ms": 0}'
    And the redemption is sent again until the new sidecar answers
    Then the redemption was told as "in_doubt"
    And the redemption ran 1 time

  @fixture.entries.2 @fixture.deployment.association
  Scenario: Redemptions go on in an outage of the table
    Given stand-in "table" has faults '{"frozen": true}'
    And 10 seconds have passed
    When a redemption is sent through both entries, one after the other
    Then the redemption was told as "ok"
    And the redemption ran 1 time

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A new entry learns the configuration from its peers in an outage
    Given stand-in "table" has faults '{"down": "closed"}'
    And stand-in "objects" has faults '{"down": "closed"}'
    When process "entry-2" is killed
    And process "entry-2" is started again
    And the caller asks "tapster-lm/stall-0001:1" until there is an answer
    Then the answer is from version 1 of "stall-0001" of "tapster-lm"

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A request that crashes engines is stopped
    When a request that crashes its engine is sent 6 times
    Then the request was last refused with "quarantined"
    And it crashed at most 3 engines
    And the caller asks "tapster-lm/stall-0001:1" until there is an answer

  @fixture.deployment.association
  Scenario: A second sidecar cannot command the engine of a frozen one
    When process "sidecar-tapster-lm-1" is frozen
    Then a second "sidecar-tapster-lm-1" ends with status 3

  @fixture.entries.2 @fixture.deployment.association
  Scenario: Answers go on after connections to an engine went silent
    Given 6 streams of 200 pieces are running
    When stand-in "tapster-lm-1" has faults '{"silence": true}'
    And stand-in "tapster-lm-2" has faults '{"silence": true}'
    Then every stream is complete
    And no request ran twice and no adapter was unloaded in flight
