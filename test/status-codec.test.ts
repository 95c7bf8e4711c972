/** Encoding of agent statuses: complete at first and on a change, otherwise the load alone. */
import { test } from 'tap'
import { decodeStatus, encodeStatus } from '../src/transports/status-codec.js'
import type { AgentStatus } from '../src/types/messages.js'

const idle: AgentStatus = {
  instance: 'citations-1',
  incarnation: 'first',
  dataCentre: 'rajkot',
  service: 'citations',
  state: 'open',
  weights: 'ab',
  limit: 2,
  inFlight: 0,
  waiting: 0,
  cold: true,
  configurationNext: 3,
  address: '127.0.0.1:1',
  wanted: '',
  chunksHeld: 0,
  chunksTotal: 0,
  suspects: []
}
const suspects = [{ fingerprint: 'ff', crashes: 1, until: 9 }]

const cases: ReadonlyArray<{ readonly name: string, readonly statuses: readonly AgentStatus[], readonly sent: ReadonlyArray<'status' | 'load'> }> = [
  { name: 'sends the first status completely', statuses: [idle], sent: ['status'] },
  { name: 'sends only the load while nothing else changes', statuses: [idle, { ...idle, inFlight: 1 }, { ...idle, limit: 3 }], sent: ['status', 'load', 'load'] },
  { name: 'sends the complete status when the state changes', statuses: [idle, { ...idle, state: 'leaving', inFlight: 1 }], sent: ['status', 'status'] },
  { name: 'sends the complete status when a suspect appears', statuses: [idle, { ...idle, suspects }], sent: ['status', 'status'] },
  { name: 'sends the complete status when the weights change', statuses: [idle, { ...idle, inFlight: 2 }, { ...idle, weights: '' }], sent: ['status', 'load', 'status'] }
]

for (const { name, statuses, sent } of cases) {
  test(`the status codec ${name}`, async t => {
    const kinds: string[] = []
    let last: AgentStatus | undefined
    let received: AgentStatus | undefined
    for (const status of statuses) {
      const message = encodeStatus(last, status)
      kinds.push(message.load === undefined ? 'status' : 'load')
      received = decodeStatus(received, message)
      last = status
      t.same(received, status, 'the watcher decodes the status that the agent sent')
    }
    t.same(kinds, sent)
  })
}

test('the status codec ignores the load before the first complete status', async t => {
  t.equal(decodeStatus(undefined, { load: { limit: 1, inFlight: 1, waiting: 0 } }), undefined)
})
