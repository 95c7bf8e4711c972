/** A request that crashes every upstream that runs it, sent repeatedly. */
import type { RegisterLine } from '../../stand-in/register.js'
import { waitUntil } from '../../src/utils/clock.js'
import { digestBytes } from '../../src/utils/digest.js'
import { Caller, type Call, type Sending } from '../caller.js'
import { setFaultsOnceRunning } from '../deployment.js'
import { Fault } from './fault.js'
import { modelService, plainService, type TestDeployment } from './test-deployment.js'

/** Text of every crashing request. */
export const crashingText = 'a text that crashes its upstream'
const sendCount = 8
const pauseMilliseconds = 300
const requestTimeoutMilliseconds = 3000

/** Kinds of crashing requests; `runs` is how often one may run before every entry must refuse it. */
const requestKinds = {
  completion: { name: 'crashing-request', service: modelService, kind: 'model', operation: 'completions', key: '', runs: 2 },
  lookUp: { name: 'crashing-look-up', service: plainService, kind: 'plain', operation: 'look-up', key: '', runs: 2 },
  signOff: { name: 'crashing-sign-off', service: plainService, kind: 'plain', operation: 'sign-off', key: 'crashing-sign-off', runs: 1 }
} as const

/** Kind of a crashing request. */
export type CrashingKind = keyof typeof requestKinds

/** Runs of one kind of crashing request; the kinds share their text, and a scenario may send several of them. */
export function runsOfCrashingRequest (register: readonly RegisterLine[], kind: CrashingKind): ReadonlyArray<Extract<RegisterLine, { event: 'started' | 'ran' }>> {
  const { kind: serviceKind, operation } = requestKinds[kind]
  return register.flatMap(line => {
    const isRun = serviceKind === 'model'
      ? line.event === 'started' && line.prompt === crashingText
      : line.event === 'ran' && line.operation === operation && line.body === digestBytes(crashingText)
    return isRun ? [line as Extract<RegisterLine, { event: 'started' | 'ran' }>] : []
  })
}

/** Sends the crashing request to the entries in rotation. */
export class CrashingRequest extends Fault {
  readonly impact = 'unknown'
  readonly name: string
  private readonly sent: Sending[] = []

  constructor (private readonly kind: CrashingKind) {
    super()
    this.name = requestKinds[kind].name
  }

  async inject (deployment: TestDeployment): Promise<void> {
    const { service, kind, operation, key } = requestKinds[this.kind]
    await Promise.all(deployment.agents(service).map(async ({ upstream }) => upstream && await setFaultsOnceRunning(upstream, { crashText: crashingText })))
    const caller = new Caller('small-one', [])
    for (let number = 0; number < sendCount; number += 1) {
      const call: Call = { service, kind, operation, key, text: crashingText, tokens: 5, deadline: Date.now() + requestTimeoutMilliseconds }
      this.sent.push(await caller.send(call, deployment.entries[number % deployment.entries.length]?.listen))
      await waitUntil(Date.now() + pauseMilliseconds)
    }
    caller.close()
  }

  async clear (): Promise<void> {}

  override check (_deployment: TestDeployment, register: readonly RegisterLine[]): readonly string[] {
    const runs = runsOfCrashingRequest(register, this.kind)
    const ids = new Set(runs.map(({ id }) => id))
    const falseNotRun = this.sent.filter(({ end, id }) => end === 'not-run' && ids.has(id))
    const findings = falseNotRun.map(({ id, failure }) => `the crashing request ${id} was said not to have run: ${failure}`)
    const maximumRuns = requestKinds[this.kind].runs
    if (runs.length > maximumRuns) findings.push(`the crashing request ran ${runs.length} times, ${maximumRuns} are allowed: ${this.sent.map(({ end, failure }) => `${end} ${failure}`).join('; ')}`)
    return findings
  }
}
