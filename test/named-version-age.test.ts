/** From when on an entry requires a named version, by what it read and what others told it. */
import { test } from 'tap'
import { PlatformRecords } from '../platform/records.js'
import { FleetState } from '../src/roles/gateway/fleet-state.js'
import { decodeMessage, encodeMessage } from '../src/transports/datagrams.js'
import type { Subscription } from '../src/types/node-messages.js'

const model = 'weights-a'
const rolloutMilliseconds = 8000
const read = { source: 'log', cost: { bytes: 0, firstByteMilliseconds: 0, milliseconds: 0, records: 1, superseded: 0 } } as const
const record = { key: `version/${model}`, value: Buffer.from(JSON.stringify({ 'model-id': model, version: 2 })), offset: 0, era: 0 }

/** An entry that tells what it knows as datagrams do. */
class Entry {
  private readonly state = new FleetState(new PlatformRecords(), rolloutMilliseconds, () => {})

  reads (isFirst: boolean): this {
    this.state.put(record, isFirst, read)
    return this
  }

  hears (ageMilliseconds: number): this {
    this.state.mergeWeights([{ model, version: 2, ageMilliseconds }])
    return this
  }

  hearsFrom (other: Entry): this {
    const message: Subscription = { kind: 'subscription', dataCentre: 'zone-a', service: 'tokens', weights: other.state.weights, agents: [], rollout: undefined, vouched: undefined }
    const received = decodeMessage(encodeMessage(message)) as Subscription
    this.state.mergeWeights(received.weights)
    return this
  }

  get minimumVersion (): number {
    return this.state.minimumVersion(model)
  }
}

const cases: readonly { readonly name: string, readonly entry: () => Entry, readonly minimumVersion: number }[] = [
  { name: 'one that reads the record', entry: () => new Entry().reads(false), minimumVersion: 1 },
  { name: 'one that finds the record at its start', entry: () => new Entry().reads(true), minimumVersion: 2 },
  { name: 'one that finds it at its start and then hears its age', entry: () => new Entry().reads(true).hears(500), minimumVersion: 1 },
  { name: 'one that finds it at its start, past the bound', entry: () => new Entry().reads(true).hears(9000), minimumVersion: 2 },
  { name: 'one that reads it late, as after a freeze', entry: () => new Entry().reads(false).hears(9000), minimumVersion: 2 },
  { name: 'one that reads it and then hears of it from one that has started', entry: () => new Entry().reads(false).hearsFrom(new Entry().reads(true)), minimumVersion: 1 },
  { name: 'one that hears of it from one that has started', entry: () => new Entry().hearsFrom(new Entry().reads(true)), minimumVersion: 2 },
  { name: 'one that hears of it from one that has started, and then reads it', entry: () => new Entry().hearsFrom(new Entry().reads(true)).reads(false), minimumVersion: 1 },
  { name: 'one that has started and hears two ages, of which the larger decides', entry: () => new Entry().reads(true).hears(9000).hears(500), minimumVersion: 2 }
]

for (const { name, entry, minimumVersion } of cases) {
  test(`named version age: ${name}`, async t => { t.equal(entry().minimumVersion, minimumVersion) })
}
