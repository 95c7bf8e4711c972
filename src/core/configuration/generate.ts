/** Generates the configuration of a new deployment from the answers to the questionnaire. */
import type { Answers } from '../../types/answers.js'
import type { Configuration, Organisation, Service } from '../../types/configuration.js'

/** Settings of an organisation by the size given in the answers; retries are per second. */
const organisationsBySize: Readonly<Record<'large' | 'small', Organisation>> = {
  large: { share: 4, priority: 'normal', retriesPerSecond: 20 },
  small: { share: 1, priority: 'normal', retriesPerSecond: 5 }
}

/** Configuration of a new deployment, without intents. */
export function generateConfiguration (answers: Answers): Configuration {
  const keys = answers.operatorKeys === undefined ? {} : { operatorKeys: answers.operatorKeys }
  return {
    deployment: { name: answers.deployment, weighting: answers.weighting, logDataCentre: answers.logDataCentre, whenIsolated: answers.whenIsolated, ...keys },
    dataCentres: Object.fromEntries(answers.dataCentres.map(({ name, region }) => [name, { region, state: 'in' as const }])),
    organisations: Object.fromEntries(answers.organisations.map(({ name, size }) => [name, organisationsBySize[size]])),
    services: Object.fromEntries(answers.services.map(service => [service.name, generateService(service)])),
    intents: {}
  }
}

function generateService (service: Answers['services'][number]): Service {
  const bounds = { coldBound: service.bearsCold, fullBound: service.bearsWarm, firstByteTargetMilliseconds: service.firstByteMilliseconds }
  if (service.kind === 'plain') return { kind: 'plain', ...bounds, nonIdempotent: service.nonIdempotent }
  return { kind: 'model', ...bounds, fencing: service.checksOrders ? 'checked' : 'ignored' }
}
