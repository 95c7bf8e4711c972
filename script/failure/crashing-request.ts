/** A request that crashes every upstream it reaches, and is sent again and again. */
import type { RegisterLine } from '../../stand-in/register.js'
import { waitUntil } from '../../src/utils/clock.js'
import { digestBytes } from '../../src/utils/digest.js'
import { Caller, type Call, type Sending } from '../caller.js'
import { setFaults } from '../deployment.js'
import { Fault } from './fault.js'
import { modelService, plainService, type World } from './world.js'

const poison = 'a text that crashes its upstream'
const sendings = 8
const pauseMilliseconds = 300
const sendingMilliseconds = 3000

/** What kind of request crashes its upstreams, and how often it may run before it is kept out everywhere. */
const kinds = {
  completion: { name: 'crashing-request', service: modelService, kind: 'model', operation: 'completions', key: '', runs: 2 },
  lookUp: { name: 'crashing-look-up', service: plainService, kind: 'plain', operation: 'look-up', key: '', runs: 2 },
  signOff: { name: 'crashing-sign-off', service: plainService, kind: 'plain', operation: 'sign-off', key: 'crashing-sign-off', runs: 1 }
} as const

/** The request, sent to each entry in turn. */
export class CrashingRequest extends Fault {
  readonly impact = 'unknown'
  readonly name: string
  private readonly sent: Sending[] = []

  constructor (private readonly kind: keyof typeof kinds) {
    super()
    this.name = kinds[kind].name
  }

  async inject (deployment: World): Promise<void> {
    const { service, kind, operation, key } = kinds[this.kind]
    await Promise.all(deployment.agents(service).map(async ({ upstream }) => upstream && await setFaults(upstream, { crashText: poison })))
    const caller = new Caller('small-one', [])
    for (let number = 0; number < sendings; number += 1) {
      const call: Call = { service, kind, operation, key, text: poison, tokens: 5, deadline: Date.now() + sendingMilliseconds }
      this.sent.push(await caller.send(call, deployment.entries[number % deployment.entries.length]?.listen))
      await waitUntil(Date.now() + pauseMilliseconds)
    }
    caller.close()
  }

  async clear (): Promise<void> {}

  override check (_deployment: World, register: readonly RegisterLine[]): readonly string[] {
    const runs = register.filter(line => (line.event === 'started' && line.prompt === poison) || (line.event === 'ran' && line.body === digestBytes(poison)))
    const ids = new Set(runs.flatMap(line => 'id' in line ? [line.id] : []))
    const falseNotRun = this.sent.filter(({ end, id }) => end === 'not-run' && ids.has(id))
    const findings = falseNotRun.map(({ id, failure }) => `the crashing request ${id} was said not to have run: ${failure}`)
    const maximumRuns = kinds[this.kind].runs
    if (runs.length > maximumRuns) findings.push(`the crashing request ran ${runs.length} times, ${maximumRuns} are allowed: ${this.sent.map(({ end, failure }) => `${end} ${failure}`).join('; ')}`)
    return findings
  }
}
