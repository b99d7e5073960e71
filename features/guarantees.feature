Feature: Guarantees under failure

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A graceful shutdown of a sidecar interrupts no request
    Given 6 streams of 200 pieces are running
    When process "sidecar-tapster-lm-1" receives SIGTERM
    Then every stream is complete
    And process "sidecar-tapster-lm-1" exits with status 0
    And no request ran twice and no adapter was unloaded in flight

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A graceful shutdown of an entry interrupts no request
    Given 6 streams of 200 pieces are running
    When process "entry-1" receives SIGTERM
    Then every stream is complete
    And process "entry-1" exits with status 0

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A draining upstream starts no new requests
    Given 2 streams of 200 pieces are running
    When the operator drains "tapster-lm-1"
    And 3 seconds have passed
    And 10 requests are sent to each entry
    Then upstream "tapster-lm-1" started none of these requests
    And every stream is complete

  @fixture.entries.2 @fixture.deployment.association
  Scenario: An upstream whose VM is listed as leaving starts no new requests
    When the VM list reports the VM of "tapster-lm-1" as leaving
    And 8 seconds have passed
    And 10 requests are sent to each entry
    Then upstream "tapster-lm-1" started none of these requests

  @fixture.entries.2 @fixture.deployment.association
  Scenario: An answer is resumed through another entry
    Given a stream of 200 pieces through entry 1 has delivered 20 pieces
    When process "entry-1" is killed
    And the caller resumes the answer through entry 2
    Then the concatenated answer is complete

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A redemption whose answer is lost runs only once
    Given stand-in "token-ledger-1" has faults '{"fail_after_effect": 1}'
    When a redemption is sent through entry 1 and then through entry 2
    Then the redemption is reported as "in_doubt"
    And the redemption ran 1 time

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A restarted sidecar does not rerun a redemption that was in flight
    Given stand-in "token-ledger-1" has faults '{"delay_ms": 60000}'
    And a redemption is running through entry 1
    When process "sidecar-token-ledger-1" is killed
    And process "sidecar-token-ledger-1" is restarted
    And stand-in "token-ledger-1" has faults '{"delay_ms": 0}'
    And the redemption is repeated through entry 2 once the restarted sidecar is ready
    Then the redemption is reported as "in_doubt"
    And the redemption ran 1 time

  @fixture.entries.2 @fixture.deployment.association
  Scenario: Redemptions continue during a table outage
    Given stand-in "table" has faults '{"frozen": true}'
    And 10 seconds have passed
    When a redemption is sent through entry 1 and then through entry 2
    Then the redemption is reported as "ok"
    And the redemption ran 1 time

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A restarted entry fetches the configuration from its peers while the stores are down
    Given stand-in "table" has faults '{"down": "closed"}'
    And stand-in "objects" has faults '{"down": "closed"}'
    When process "entry-2" is killed
    And process "entry-2" is restarted
    And the caller queries "tapster-lm/stall-0001:1" until a request succeeds
    Then the answer is from version 1 of "stall-0001" of "tapster-lm"

  @fixture.entries.2 @fixture.deployment.association
  Scenario: A request that crashes engines is quarantined
    When a request that crashes its engine is sent 6 times
    Then the last attempt was refused with "quarantined"
    And it crashed at most 3 engines
    And the caller queries "tapster-lm/stall-0001:1" until a request succeeds

  @fixture.deployment.association
  Scenario: A second sidecar cannot control the engine of a suspended sidecar
    When process "sidecar-tapster-lm-1" is suspended
    Then a second instance of "sidecar-tapster-lm-1" exits with status 3

  @fixture.entries.2 @fixture.deployment.association
  Scenario: Streams complete after connections to the engines stall
    Given 6 streams of 200 pieces are running
    When stand-in "tapster-lm-1" has faults '{"silence": true}'
    And stand-in "tapster-lm-2" has faults '{"silence": true}'
    Then every stream is complete
    And no request ran twice and no adapter was unloaded in flight
