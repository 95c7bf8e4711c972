/** Faults of the platform, of upstreams and of links, most of them set at the stand-ins' control ports. */
import { setFaults, setFaultsOnceRunning } from '../deployment.js'
import type { Started } from '../launch.js'
import type { Link } from '../link.js'
import { Fault, type CallerImpact } from './fault.js'
import { modelService, plainService, type TestDeployment } from './test-deployment.js'

type Faults = Readonly<Record<string, unknown>>

/** Sets faults of a platform service and resets them when cleared. */
export class PlatformFault extends Fault {
  readonly impact = 'unknown'

  constructor (readonly name: string, private readonly service: 'log' | 'list' | 'origin' | 'store', private readonly faults: Faults, private readonly clearedFaults: Faults) {
    super()
  }

  async inject (deployment: TestDeployment): Promise<void> {
    await setFaults(deployment.running[this.service], this.faults)
  }

  async clear (deployment: TestDeployment): Promise<void> {
    await setFaults(deployment.running[this.service], this.clearedFaults)
  }
}

/** A rollout while the sources of weights fail; all replicas must serve it after the sources recover. */
export class RolloutFault extends Fault {
  readonly impact = 'unknown'

  constructor (readonly name: string, private readonly sources: ReadonlyArray<'origin' | 'store'>, private readonly faults: Faults, private readonly clearedFaults: Faults) {
    super()
  }

  async inject (deployment: TestDeployment): Promise<void> {
    for (const source of this.sources) await setFaults(deployment.running[source], this.faults)
    await deployment.rollOutNext()
  }

  async clear (deployment: TestDeployment): Promise<void> {
    for (const source of this.sources) await setFaults(deployment.running[source], this.clearedFaults)
    await deployment.waitForNewestWeights()
  }
}

/** A single fault of an upstream: its connections stop responding (`silence`) or are closed (`cut`), or it crashes. */
export class UpstreamFault extends Fault {
  readonly impact = 'unknown'
  readonly name: string

  constructor (private readonly action: 'silence' | 'cut' | 'crash', private readonly service: typeof modelService | typeof plainService) {
    super()
    this.name = `${action}-${service === modelService ? 'engine' : 'service'}`
  }

  async inject (deployment: TestDeployment): Promise<void> {
    await setFaultsOnceRunning(upstreamOf(deployment, this.service), {}, this.action)
  }

  async clear (): Promise<void> {}
}

/** Faults of the answers of one upstream: lost after the request took effect, or replaced by another request's answer. */
export class AnswerFault extends Fault {
  readonly impact = 'unknown'
  private affected: Started | undefined

  constructor (readonly name: string, private readonly service: typeof modelService | typeof plainService, private readonly faults: Faults, private readonly clearedFaults: Faults) {
    super()
  }

  async inject (deployment: TestDeployment): Promise<void> {
    this.affected = upstreamOf(deployment, this.service)
    await setFaultsOnceRunning(this.affected, this.faults)
    if (this.service === modelService) await deployment.rollOutNext()
  }

  async clear (): Promise<void> {
    if (this.affected !== undefined) await setFaultsOnceRunning(this.affected, this.clearedFaults)
  }
}

/** Fault of the link from entries to one agent: open connections stop responding or are reset, or all connections are refused; the control address stays reachable. */
export class AgentLinkFault extends Fault {
  readonly impact = 'unknown'
  readonly name: string
  private link: Link | undefined

  constructor (private readonly action: 'silence' | 'cut' | 'block') {
    super()
    this.name = `${action}-agent-link`
  }

  async inject (deployment: TestDeployment): Promise<void> {
    const { listed } = deployment.pickBusy(deployment.agents(deployment.pick([modelService, plainService])))
    this.link = deployment.agentLinks.get(listed.instance)
    this.link?.[this.action]()
  }

  async clear (): Promise<void> {
    this.link?.unblock()
  }
}

/** A second rollout while the first is in progress; all replicas must end on the second. */
export class VersionChange extends Fault {
  readonly impact = 'unknown'
  readonly name = 'version-change'

  async inject (deployment: TestDeployment): Promise<void> {
    await deployment.rollOutNext()
    await deployment.rollOutNext()
  }

  async clear (deployment: TestDeployment): Promise<void> {
    await deployment.waitForNewestWeights()
  }
}

/** An engine that reports other weights than it was ordered to load. */
export class Misreport extends Fault {
  readonly impact = 'unknown'
  readonly name = 'engine-misreports'
  private affected: Started | undefined

  async inject (deployment: TestDeployment): Promise<void> {
    this.affected = upstreamOf(deployment, modelService)
    await setFaultsOnceRunning(this.affected, { reportedWeights: foreignDigest })
    await deployment.rollOutNext()
  }

  async clear (deployment: TestDeployment): Promise<void> {
    if (this.affected !== undefined) await setFaultsOnceRunning(this.affected, { reportedWeights: '' })
    await deployment.waitForNewestWeights()
  }
}

const foreignDigest = 'f'.repeat(64)

/** Blocks the links of all instances of a data centre to the log. */
export class LogCutOff extends Fault {
  readonly name = 'log-cut-off'
  readonly impact = 'unknown'
  private dataCentre = ''

  async inject (deployment: TestDeployment): Promise<void> {
    this.dataCentre = deployment.pick(deployment.answers.dataCentres).name
    for (const link of this.links(deployment)) link.block()
  }

  async clear (deployment: TestDeployment): Promise<void> {
    for (const link of this.links(deployment)) link.unblock()
  }

  private links (deployment: TestDeployment): ReadonlyArray<{ block (): void, unblock (): void }> {
    return deployment.running.instances.filter(({ listed }) => listed.dataCentre === this.dataCentre).flatMap(({ listed }) => deployment.logLinks.get(listed.instance) ?? [])
  }
}

/** Existing connections to the log stop responding and never recover; new connections work. */
export class LogConnectionStall extends Fault {
  readonly name = 'log-silent'
  readonly impact: CallerImpact = 'unknown'

  async inject (deployment: TestDeployment): Promise<void> {
    for (const link of deployment.logLinks.values()) link.silence()
  }

  async clear (): Promise<void> {}
}

function upstreamOf (deployment: TestDeployment, service: string): Started {
  const { upstream } = deployment.pickBusy(deployment.agents(service))
  if (upstream === undefined) throw new Error('the instance has no upstream')
  return upstream
}
