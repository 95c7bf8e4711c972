/** Operations during load: data centres taken out and brought back, and concurrent operators. */
import { randomUUID } from 'node:crypto'
import type { RegisterLine } from '../../stand-in/register.js'
import { emptyFold, foldPage } from '../../src/core/configuration/fold.js'
import type { StreamPage } from '../../src/types/platform.js'
import { waitUntil } from '../../src/utils/clock.js'
import { lastWorkAfter } from '../judge.js'
import { Fault, type CallerImpact } from './fault.js'
import type { TestDeployment } from './test-deployment.js'

/** New work may reach a data centre for this long after it was taken out. */
const drainGraceMilliseconds = 3000
/** Time after the grace period in which late work is detected. */
const observationMilliseconds = 1500

/** Takes a data centre out and brings it back. */
export class ZoneMove extends Fault {
  readonly name: string = 'zone-move'
  readonly impact: CallerImpact = 'none'
  protected outAt = 0
  protected inAt = 0
  protected zone = ''

  async inject (deployment: TestDeployment): Promise<void> {
    this.zone = deployment.pick(deployment.answers.dataCentres).name
    this.outAt = await deployment.operator.moveZone('out', this.zone)
    await waitUntil(this.outAt + drainGraceMilliseconds + observationMilliseconds)
  }

  async clear (deployment: TestDeployment): Promise<void> {
    this.inAt = Date.now()
    await deployment.operator.moveZone('in', this.zone)
  }

  override check (deployment: TestDeployment, register: readonly RegisterLine[]): readonly string[] {
    const last = lastWorkAfter(register, deployment.upstreamsIn(this.zone), this.outAt, this.inAt)
    return last <= drainGraceMilliseconds ? [] : [`${this.zone} got work ${last} ms after it was taken out`]
  }
}

/** Takes out a data centre that cannot reach the log, while all instances of the other data centres are paused. */
export class IsolatedZoneOut extends ZoneMove {
  override readonly name = 'isolated-zone-out'
  /** Entries of the other data centre are paused too. */
  override readonly impact = 'cut'

  override async inject (deployment: TestDeployment): Promise<void> {
    this.zone = 'south'
    const elsewhere = deployment.running.instances.filter(({ listed }) => listed.dataCentre !== this.zone)
    for (const link of this.links(deployment)) link.block()
    for (const { process: managed } of elsewhere) managed.kill('SIGSTOP')
    this.outAt = await deployment.operator.moveZone('out', this.zone)
    await waitUntil(this.outAt + drainGraceMilliseconds + observationMilliseconds)
  }

  override async clear (deployment: TestDeployment): Promise<void> {
    this.inAt = Date.now()
    for (const link of this.links(deployment)) link.unblock()
    for (const { process: managed } of deployment.running.instances) managed.kill('SIGCONT')
    await deployment.operator.moveZone('in', this.zone)
  }

  private links (deployment: TestDeployment): ReadonlyArray<{ block (): void, unblock (): void }> {
    return deployment.running.instances.filter(({ listed }) => listed.dataCentre === this.zone).flatMap(({ listed }) => deployment.logLinks.get(listed.instance) ?? [])
  }
}

/** Concurrent operators move one data centre; the number of commands reported as accepted must equal the number of changes in the log. */
export class OperatorRace extends Fault {
  readonly name = 'operators-race'
  readonly impact = 'none'
  private readonly findings: string[] = []
  private zone = ''

  async inject (deployment: TestDeployment): Promise<void> {
    this.zone = deployment.pick(deployment.answers.dataCentres).name
    const author = `race-${randomUUID()}`
    const results = await Promise.all(['out', 'in', 'out', 'in'].map(async direction => await deployment.operator.tryZone(direction as 'in' | 'out', this.zone, author)))
    const accepted = results.filter(({ code }) => code === 0).length
    const inForce = await countAcceptedChanges(deployment, author)
    if (accepted !== inForce) this.findings.push(`${accepted} operators were told accepted, and ${inForce} changes are in force: ${results.map(({ output, errors }) => output + errors).join(' ')}`)
    if (accepted === 0) this.findings.push('no operator won the race')
  }

  async clear (deployment: TestDeployment): Promise<void> {
    await deployment.operator.moveZone('in', this.zone)
  }

  override check (): readonly string[] {
    return this.findings
  }
}

/** Counts the accepted changes of one author by folding the records of the log; other series change the configuration too. */
async function countAcceptedChanges (deployment: TestDeployment, author: string): Promise<number> {
  const page = await (await fetch(`${deployment.operator.log}/streams/configuration/records?from=0`)).json() as StreamPage
  let state = emptyFold
  let accepted = 0
  for (const record of page.records) {
    const next = foldPage(state, { ...page, records: [record] })
    const isAccepted = next.revision > state.revision
    if (isAccepted && (JSON.parse(record.body) as { author?: string }).author === author) accepted += 1
    state = next
  }
  return accepted
}
