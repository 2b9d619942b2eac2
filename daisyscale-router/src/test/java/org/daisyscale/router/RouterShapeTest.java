package org.daisyscale.router;

import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.name;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.daisyscale", importOptions = ImportOption.DoNotIncludeTests.class)
class RouterShapeTest {

    @ArchTest
    void shouldKeepTheCodecApartFromTheRouter(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage("org.daisyscale.codec..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.daisyscale.router..", "org.daisyscale.cli..", "org.daisyscale.testkit..");

        rule.check(classes);
    }

    @ArchTest
    void shouldStartNoProcess(JavaClasses classes) {
        ArchRule rule = noClasses()
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.ProcessBuilder")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Runtime");

        rule.check(classes);
    }

    @ArchTest
    void shouldNotSpinWhileWaiting(JavaClasses classes) {
        ArchRule rule = noClasses()
                .should()
                .callMethod(Thread.class, "onSpinWait")
                .orShould()
                .callMethod(Thread.class, "yield");

        rule.check(classes);
    }

    @ArchTest
    void shouldNotUseTheProxySupportOfRatpack(JavaClasses classes) {
        ArchRule rule = noClasses().should().callMethodWhere(target(name("forwardTo")));

        rule.check(classes);
    }
}
