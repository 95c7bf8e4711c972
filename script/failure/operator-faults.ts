/** Operations during load: data centres taken out and brought back, and concurrent operators. */
import { randomUUID } from 'node:crypto'
import type { RegisterLine } from '../../stand-in/register.js'
import { emptyFold, foldPage } from '../../src/core/configuration/fold.js'
import type { Change } from '../../src/types/configuration.js'
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
    await this.findEarlierReturn(deployment)
  }

  /** Another series may have brought the data centre back before this one did. */
  protected async findEarlierReturn (deployment: TestDeployment): Promise<void> {
    const returns = (await readAcceptedChanges(deployment)).filter(({ at, change }) => at > this.outAt && change.kind === 'data-centre' && change.dataCentre === this.zone && change.state === 'in')
    this.inAt = Math.min(this.inAt, ...returns.map(({ at }) => at))
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
    await this.findEarlierReturn(deployment)
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
    const inForce = (await readAcceptedChanges(deployment)).filter(accepted => accepted.author === author).length
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

interface AcceptedChange {
  readonly author: string
  readonly change: Change
  /** When the log took it, epoch milliseconds. */
  readonly at: number
}

/** The changes that were accepted, of all series, by folding the records of the log. */
async function readAcceptedChanges (deployment: TestDeployment): Promise<readonly AcceptedChange[]> {
  const page = await deployment.operator.readChanges()
  let state = emptyFold
  let accepted: readonly AcceptedChange[] = []
  for (const record of page.records) {
    const next = foldPage(state, { ...page, records: [record] })
    if (next.revision > state.revision) {
      const { author, change } = JSON.parse(record.body) as { readonly author: string, readonly change: Change }
      accepted = [...accepted, { author, change, at: record.at }]
    }
    state = next
  }
  return accepted
}
